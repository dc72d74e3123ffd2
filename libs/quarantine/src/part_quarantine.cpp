#include <limpet/base/hash.hpp>
#include <limpet/quarantine/part_quarantine.hpp>

#include <algorithm>

namespace limpet::quarantine
{

part_quarantine::part_quarantine(vm_id self, quarantine_settings settings)
    : m_self(std::move(self)),
      m_settings(settings),
      m_evidence(settings.evidence)
{
}

bool part_quarantine::is_quarantined(part_key part) const
{
    const auto found = m_entries.find(part);
    return found != m_entries.end() && !found->second.is_released;
}

/// Returns whether this router may try the part now. The routers take turns in
/// rendezvous order, so that usually one of them tries at a time.
bool part_quarantine::is_turn_of_this_router(part_key part,
                                             const entry& each,
                                             time_point now) const
{
    const auto rank = [part](const vm_id& router)
    {
        return combine_hashes(part.get(), stable_hash(router.get()));
    };
    const auto own = rank(m_self);
    const auto position = std::count_if(m_routers.begin(),
                                        m_routers.end(),
                                        [&](const vm_id& router)
                                        {
                                            return rank(router) < own;
                                        });
    const auto routers = static_cast<std::int64_t>(m_routers.size()) + 1;
    const duration since = now - each.ends_at;
    const bool may_begin =
        since % m_settings.trial_turn < m_settings.trial_turn / 2;
    return may_begin && since / m_settings.trial_turn % routers == position;
}

bool part_quarantine::may_try(part_key part,
                              const entry& each,
                              time_point now) const
{
    return now >= each.ends_at && now >= each.trial_until &&
           is_turn_of_this_router(part, each, now);
}

admission part_quarantine::check(const std::vector<part_key>& parts,
                                 time_point now) const
{
    for (const part_key part : parts)
    {
        const auto found = m_entries.find(part);
        if (found != m_entries.end() && !found->second.is_released &&
            !may_try(part, found->second, now))
        {
            const duration left = found->second.ends_at - now;
            return {false, part, std::max(left, m_settings.trial_turn)};
        }
    }
    return {};
}

admission part_quarantine::admit(const std::vector<part_key>& parts,
                                 time_point now)
{
    const admission result = check(parts, now);
    for (const part_key part : parts)
    {
        const auto found = m_entries.find(part);
        if (result.is_admitted && found != m_entries.end())
        {
            found->second.trial_until = now + m_settings.trial_turn;
        }
    }
    return result;
}

void part_quarantine::on_cut_off(const cut_off_request& request, time_point now)
{
    if (request.parts.empty())
    {
        return;
    }
    m_evidence.add(request, now);
    m_broadcast.cut_off.push_back(request);
    for (const part_key part : request.parts)
    {
        const auto found = m_entries.find(part);
        const bool is_failed_trial = found != m_entries.end() &&
                                     !found->second.is_released &&
                                     now >= found->second.ends_at;
        if (is_failed_trial)
        {
            quarantine(part, found->second.failed_trials + 1, now);
            m_broadcast.entries.push_back(to_message(part, found->second, now));
        }
    }
}

void part_quarantine::on_sound(const std::vector<part_key>& parts,
                               time_point now)
{
    for (const part_key part : parts)
    {
        m_evidence.record_sound(part, now);
        if (is_quarantined(part))
        {
            release(part, now);
        }
    }
}

void part_quarantine::on_answer(server_key server, time_point now)
{
    if (m_evidence.record_answer(server, now))
    {
        m_broadcast.live_servers.push_back(server);
    }
}

void part_quarantine::set_routers(std::set<vm_id> routers)
{
    routers.erase(m_self);
    for (const vm_id& each : routers)
    {
        if (!m_routers.contains(each))
        {
            m_routers_to_compare.insert(each);
        }
    }
    std::erase_if(m_routers_to_compare,
                  [&routers](const vm_id& each)
                  {
                      return !routers.contains(each);
                  });
    m_routers = std::move(routers);
}

void part_quarantine::on_lost(const vm_id& router)
{
    if (m_routers.contains(router))
    {
        m_routers_to_compare.insert(router);
    }
}

duration part_quarantine::term(std::uint32_t failed_trials) const
{
    duration result = m_settings.first_term;
    for (std::uint32_t i = 0; i < failed_trials && result < m_settings.max_term;
         ++i)
    {
        result *= m_settings.term_factor;
    }
    return std::min(result, m_settings.max_term);
}

void part_quarantine::quarantine(part_key part,
                                 std::uint32_t failed_trials,
                                 time_point now)
{
    if (m_entries.size() >= max_entries && !m_entries.contains(part))
    {
        return;
    }
    entry& each = m_entries[part];
    ++each.revision;
    each.failed_trials = failed_trials;
    each.ends_at = now + term(failed_trials);
    each.is_released = false;
    each.trial_until = {};
    record_change(part, true, now);
}

void part_quarantine::release(part_key part, time_point now)
{
    entry& each = m_entries.at(part);
    ++each.revision;
    each.ends_at = now;
    each.is_released = true;
    m_broadcast.entries.push_back(to_message(part, each, now));
    record_change(part, true, now);
}

void part_quarantine::merge(const quarantine_entry& received, time_point now)
{
    const auto found = m_entries.find(received.part);
    const bool is_known = found != m_entries.end();
    if ((is_known && found->second.revision >= received.revision) ||
        (!is_known && m_entries.size() >= max_entries))
    {
        return;
    }
    m_entries[received.part] = {received.revision,
                                received.failed_trials,
                                now + received.remaining,
                                received.is_released,
                                {}};
    if (received.is_released)
    {
        m_evidence.record_shared_sound(received.part, now);
    }
    record_change(received.part, false, now);
}

quarantine_entry part_quarantine::to_message(part_key part,
                                             const entry& each,
                                             time_point now) const
{
    return {part,
            each.revision,
            each.failed_trials,
            each.ends_at - now,
            each.is_released};
}

std::vector<quarantine_entry> part_quarantine::all_entries(time_point now) const
{
    std::vector<quarantine_entry> result;
    for (const auto& [part, each] : m_entries)
    {
        result.push_back(to_message(part, each, now));
    }
    return result;
}

void part_quarantine::record_change(part_key part, bool is_own, time_point now)
{
    m_changes.push_back({to_message(part, m_entries.at(part), now), is_own});
}

std::vector<quarantine_change> part_quarantine::take_changes()
{
    return std::exchange(m_changes, {});
}

/// Returns a hash of the entries without their times, which differ slightly.
std::uint64_t part_quarantine::digest() const
{
    std::uint64_t result = 0;
    for (const auto& [part, each] : m_entries)
    {
        result = combine_hashes(result, part.get());
        result = combine_hashes(result, each.revision);
    }
    return result | 1U;
}

void part_quarantine::receive(const vm_id& from,
                              const message& received,
                              time_point now)
{
    for (const cut_off_request& each : received.cut_off)
    {
        m_evidence.add(each, now);
    }
    for (const sound_part& each : received.sound)
    {
        m_evidence.record_shared_sound(each.part, now - each.age);
    }
    for (const server_key each : received.live_servers)
    {
        m_evidence.discard(each);
    }
    for (const quarantine_entry& each : received.entries)
    {
        merge(each, now);
    }
    if (received.digest == 0)
    {
        return;
    }
    const std::uint64_t own = digest();
    if (own == received.digest)
    {
        m_routers_to_compare.erase(from);
    }
    if (!received.is_answer)
    {
        message answer;
        answer.digest = own;
        answer.is_answer = true;
        if (own != received.digest)
        {
            answer.entries = all_entries(now);
        }
        m_answers.emplace_back(from, std::move(answer));
    }
}

void part_quarantine::conclude(time_point now)
{
    const auto is_known = [this](part_key part)
    {
        return is_quarantined(part);
    };
    // Each conclusion explains crashes, and may leave others unexplained.
    for (std::size_t i = 0; i < max_entries; ++i)
    {
        const auto responsible = m_evidence.find_responsible(is_known, now);
        if (responsible.empty())
        {
            return;
        }
        for (const part_key part : responsible)
        {
            const auto found = m_entries.find(part);
            quarantine(part,
                       found == m_entries.end() ? 0
                                                : found->second.failed_trials,
                       now);
        }
    }
}

/// Returns how long this router waits for another one to report the part.
duration part_quarantine::report_delay(part_key part) const
{
    const std::uint64_t position =
        combine_hashes(stable_hash(m_self.get()), part.get()) %
        (m_routers.size() + 1);
    duration delay{};
    for (std::uint64_t reporters = m_settings.first_reporters;
         position >= reporters;
         reporters *= 4)
    {
        delay += m_settings.report_interval;
    }
    return delay;
}

void part_quarantine::report_sound_parts(time_point now)
{
    std::map<part_key, time_point> due_at;
    for (const sound_part& each : m_evidence.unshared_sound_parts(now))
    {
        const auto known = m_sound_due_at.find(each.part);
        const time_point due = known == m_sound_due_at.end()
                                   ? now + report_delay(each.part)
                                   : known->second;
        if (now >= due)
        {
            m_broadcast.sound.push_back(each);
            m_evidence.record_shared_sound(each.part, now - each.age);
        }
        else
        {
            due_at[each.part] = due;
        }
    }
    m_sound_due_at = std::move(due_at);
}

void part_quarantine::remove_expired(time_point now)
{
    std::erase_if(m_entries,
                  [&](const auto& each)
                  {
                      return each.second.ends_at + m_settings.retention <= now;
                  });
}

void part_quarantine::add_comparisons(std::vector<outgoing>& messages,
                                      time_point now)
{
    if (m_entries.empty() || now < m_next_comparison || m_routers.empty())
    {
        return;
    }
    m_next_comparison = now + m_settings.comparison_interval;
    std::set<vm_id> to = m_routers_to_compare;
    auto next = m_routers.upper_bound(m_last_compared);
    if (next == m_routers.end())
    {
        next = m_routers.begin();
    }
    m_last_compared = *next;
    to.insert(*next);
    message compared;
    compared.entries = all_entries(now);
    compared.digest = digest();
    messages.push_back({{to.begin(), to.end()}, std::move(compared)});
}

std::vector<part_quarantine::outgoing> part_quarantine::update(time_point now)
{
    remove_expired(now);
    if (m_evidence.is_pending(now))
    {
        report_sound_parts(now);
        conclude(now);
    }
    std::vector<outgoing> messages;
    if (!m_broadcast.is_empty() && !m_routers.empty())
    {
        messages.push_back({{m_routers.begin(), m_routers.end()}, m_broadcast});
    }
    m_broadcast = {};
    for (auto& [router, answer] : std::exchange(m_answers, {}))
    {
        messages.push_back({{router}, std::move(answer)});
    }
    add_comparisons(messages, now);
    return messages;
}

std::optional<duration> part_quarantine::next_update(time_point now) const
{
    if (!m_broadcast.is_empty() || !m_answers.empty())
    {
        return duration::zero();
    }
    if (m_evidence.is_pending(now))
    {
        return m_settings.report_interval;
    }
    if (!m_entries.empty())
    {
        return m_settings.comparison_interval;
    }
    return std::nullopt;
}

} // namespace limpet::quarantine
