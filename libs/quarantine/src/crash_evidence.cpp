#include <limpet/quarantine/crash_evidence.hpp>

#include <algorithm>

namespace limpet::quarantine
{

crash_evidence::crash_evidence(evidence_settings settings)
    : m_settings(settings)
{
}

void crash_evidence::add(const cut_off_request& request, time_point now)
{
    discard_old(now);
    if (request.parts.empty())
    {
        return;
    }
    if (m_reports.size() >= max_reports)
    {
        discard_oldest_quarter();
    }
    report added{request, now};
    auto& parts = added.request.parts;
    parts.resize(std::min(parts.size(), max_parts_of_report));
    for (const part_key part : parts)
    {
        m_parts.try_emplace(part);
    }
    m_servers.try_emplace(request.server, now);
    m_reports.push_back(std::move(added));
    m_last_report_at = now;
}

void crash_evidence::record_sound(part_key part, time_point answered_at)
{
    const auto found = m_parts.find(part);
    if (found != m_parts.end())
    {
        found->second.sound_at = answered_at;
    }
}

std::vector<sound_part>
crash_evidence::unshared_sound_parts(time_point now) const
{
    std::map<part_key, crash_times> suspected;
    for (const report& each : m_reports)
    {
        for (const part_key part : each.request.parts)
        {
            const part_record& known = m_parts.at(part);
            if (known.sound_at &&
                (!known.shared_sound_at || *known.shared_sound_at < each.at))
            {
                suspected[part].try_emplace(each.request.server, each.at);
            }
        }
    }
    std::vector<sound_part> result;
    for (const auto& [part, crashes] : suspected)
    {
        const time_point sound_at = *m_parts.at(part).sound_at;
        const bool clears_any = std::any_of(crashes.begin(),
                                            crashes.end(),
                                            [sound_at](const auto& crash)
                                            {
                                                return crash.second <= sound_at;
                                            });
        if (clears_any && crashes.size() > 1)
        {
            result.push_back({part, now - sound_at});
        }
    }
    return result;
}

void crash_evidence::record_shared_sound(part_key part, time_point answered_at)
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end())
    {
        return;
    }
    auto& known = found->second.shared_sound_at;
    known = known ? std::max(*known, answered_at) : answered_at;
}

bool crash_evidence::record_answer(server_key server, time_point now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() ||
        now < found->second + m_settings.stale_answers)
    {
        return false;
    }
    discard(server);
    return true;
}

void crash_evidence::discard(server_key server)
{
    std::erase_if(m_reports,
                  [server](const report& each)
                  {
                      return each.request.server == server;
                  });
    discard_unused();
}

void crash_evidence::discard_old(time_point now)
{
    const auto first_kept =
        std::find_if(m_reports.begin(),
                     m_reports.end(),
                     [this, now](const report& each)
                     {
                         return now < each.at + m_settings.retention;
                     });
    if (first_kept != m_reports.begin())
    {
        m_reports.erase(m_reports.begin(), first_kept);
        discard_unused();
    }
}

void crash_evidence::discard_oldest_quarter()
{
    constexpr auto quarter = static_cast<std::ptrdiff_t>(max_reports / 4);
    m_reports.erase(m_reports.begin(), m_reports.begin() + quarter);
    discard_unused();
}

/// Discards what is known of parts and servers without a report.
void crash_evidence::discard_unused()
{
    std::set<part_key> parts;
    std::set<server_key> servers;
    for (const report& each : m_reports)
    {
        parts.insert(each.request.parts.begin(), each.request.parts.end());
        servers.insert(each.request.server);
    }
    std::erase_if(m_parts,
                  [&parts](const auto& each)
                  {
                      return !parts.contains(each.first);
                  });
    std::erase_if(m_servers,
                  [&servers](const auto& each)
                  {
                      return !servers.contains(each.first);
                  });
}

bool crash_evidence::is_cleared(part_key part, time_point crashed_at) const
{
    const part_record& known = m_parts.at(part);
    return (known.sound_at && *known.sound_at >= crashed_at) ||
           (known.shared_sound_at && *known.shared_sound_at >= crashed_at);
}

std::set<server_key>
crash_evidence::explained_servers(const part_predicate& is_known) const
{
    std::set<server_key> result;
    for (const report& each : m_reports)
    {
        const auto& parts = each.request.parts;
        if (std::any_of(parts.begin(), parts.end(), is_known))
        {
            result.insert(each.request.server);
        }
    }
    return result;
}

std::size_t crash_evidence::count_moments(part_key part,
                                          const crash_times& crashes) const
{
    std::set<time_point> times;
    for (const auto& [server, at] : crashes)
    {
        times.insert(at);
    }
    const duration moment =
        is_request_key(part) ? m_settings.request_moment : m_settings.moment;
    std::size_t moments = 0;
    std::optional<time_point> last;
    for (const time_point at : times)
    {
        if (!last || at >= *last + moment)
        {
            ++moments;
            last = at;
        }
    }
    return moments;
}

crash_evidence::crashes_by_part
crash_evidence::find_unexplained(const part_predicate& is_known,
                                 time_point now) const
{
    const std::set<server_key> explained = explained_servers(is_known);
    crashes_by_part unexplained;
    for (const report& each : m_reports)
    {
        if (explained.contains(each.request.server) ||
            each.at + m_settings.confirmation > now)
        {
            continue;
        }
        for (const part_key part : each.request.parts)
        {
            if (!is_cleared(part, each.at))
            {
                const server_key server = each.request.server;
                unexplained[part].try_emplace(server, m_servers.at(server));
            }
        }
    }
    return unexplained;
}

std::set<part_key> crash_evidence::find_companions(part_key request) const
{
    std::set<part_key> companions;
    for (const report& each : m_reports)
    {
        const auto& parts = each.request.parts;
        if (std::find(parts.begin(), parts.end(), request) != parts.end())
        {
            companions.insert(parts.begin(), parts.end());
        }
    }
    return companions;
}

std::optional<part_key> crash_evidence::find_responsible_request(
    const crashes_by_part& unexplained) const
{
    std::optional<part_key> request;
    std::size_t most = m_settings.crashes - 1;
    for (const auto& [part, crashes] : unexplained)
    {
        const std::size_t moments = count_moments(part, crashes);
        if (is_request_key(part) && moments > most)
        {
            request = part;
            most = moments;
        }
    }
    if (!request)
    {
        return std::nullopt;
    }
    const std::set<part_key> companions = find_companions(*request);
    const bool is_exceeded =
        std::any_of(unexplained.begin(),
                    unexplained.end(),
                    [&](const auto& each)
                    {
                        const auto& [part, crashes] = each;
                        return !companions.contains(part) &&
                               count_moments(part, crashes) > most;
                    });
    return is_exceeded ? std::nullopt : request;
}

std::vector<part_key>
crash_evidence::find_responsible_parts(const crashes_by_part& unexplained) const
{
    std::size_t most = 0;
    std::vector<part_key> responsible;
    for (const auto& [part, crashes] : unexplained)
    {
        if (is_request_key(part))
        {
            continue;
        }
        const std::size_t moments = count_moments(part, crashes);
        if (moments > most)
        {
            responsible.clear();
            most = moments;
        }
        if (moments == most)
        {
            responsible.push_back(part);
        }
    }
    const std::size_t needed = responsible.size() == 1
                                   ? m_settings.crashes
                                   : m_settings.ambiguous_crashes;
    return most >= needed ? responsible : std::vector<part_key>();
}

std::vector<part_key>
crash_evidence::find_responsible(const part_predicate& is_known, time_point now)
{
    discard_old(now);
    const crashes_by_part unexplained = find_unexplained(is_known, now);
    if (const auto request = find_responsible_request(unexplained))
    {
        return {*request};
    }
    return find_responsible_parts(unexplained);
}

} // namespace limpet::quarantine
