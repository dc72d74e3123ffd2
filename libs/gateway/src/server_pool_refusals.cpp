#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/gateway/server_pool.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace
{

/// Extension of a server's closing that is logged. Many requests may be refused
/// at the same moment.
constexpr duration min_logged_extension = milliseconds(100);

} // namespace

void server_pool::on_refused(const engine_id& id,
                             std::optional<duration> requested,
                             time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return;
    }
    server_record& each = found->second;
    const time_point before = std::max(now, each.refusals.closed_until());
    const bool is_to_be_told = each.refusals.on_refused(requested, now);
    const time_point until = each.refusals.closed_until();
    if (until >= before + min_logged_extension)
    {
        log_event(log_level::info,
                  "server.closed",
                  {{"engine", id.get()},
                   {"cause", requested ? "asked_for" : "refusals"},
                   {"closed_ms", to_milliseconds(until - now)}});
    }
    const bool is_brittle = find_brittle(each.service, now) != nullptr;
    if (is_brittle)
    {
        record_full(each, now);
    }
    // Brittle servers that are full are not closed to those whose requests end
    // there.
    if (is_to_be_told && (requested || !is_brittle))
    {
        publish({each.start_key.get(), 0, {}, 0, now, false, true});
    }
}

bool server_pool::on_accepted(const engine_id& id, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return false;
    }
    const server_record& each = found->second;
    const auto* known = m_limits.find(each.start_key.get());
    if (known != nullptr && known->is_closed)
    {
        log_event(log_level::info, "server.opened", {{"engine", id.get()}});
        publish({each.start_key.get(), 0, {}, 0, now});
        allow_trials(each.service);
    }
    return found->second.refusals.on_accepted();
}

/// Servers that were closed together may be open together. Otherwise the first
/// one that is open would be sent all that the others could take.
void server_pool::allow_trials(origins::service_key service)
{
    for (auto& [id, each] : m_servers)
    {
        if (each.service == service)
        {
            each.refusals.allow_trial();
        }
    }
}

/// Tells the other routers, under the revision after the known one.
void server_pool::publish(directory::server_limit notice)
{
    const auto* known = m_limits.find(notice.server);
    notice.revision = known == nullptr ? 1 : known->revision + 1;
    notice.turn = known == nullptr ? 0 : known->turn;
    if (known == nullptr || !known->is_leaving)
    {
        m_limits.set(notice);
    }
}

std::optional<duration> server_pool::time_to_opening(const server_query& query,
                                                     time_point now) const
{
    std::optional<duration> shortest;
    for (const auto& [id, each] : m_servers)
    {
        if (is_eligible(each, query) && each.backoff_until <= now &&
            !each.refusals.may_send(now))
        {
            const duration wait =
                std::max(duration::zero(), each.refusals.closed_until() - now);
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

double server_pool::rate_after_opening(const server_query& query,
                                       time_point now) const
{
    double slots = 0;
    for (const auto& [id, each] : m_servers)
    {
        const bool is_closed =
            is_eligible(each, query) && !each.refusals.may_send(now);
        slots += is_closed ? capacity_of(each) : 0;
    }
    return slots / m_routers;
}

std::size_t server_pool::closed_servers(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(),
                      m_servers.end(),
                      [now](const auto& each)
                      {
                          return now < each.second.refusals.closed_until();
                      }));
}

void server_pool::on_leaving(const engine_id& id, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.is_leaving)
    {
        return;
    }
    server_record& each = found->second;
    each.is_leaving = true;
    log_event(log_level::info,
              "server.leaving",
              {{"engine", id.get()},
               {"requests", each.own_requests},
               {"learned_from", "answer"}});
    publish({each.start_key.get(), 0, {}, 0, now, true});
}

/// Applies what another router learned.
void server_pool::apply_notice(const directory::server_limit& notice)
{
    const auto found =
        std::find_if(m_servers.begin(),
                     m_servers.end(),
                     [&notice](const auto& each)
                     {
                         return each.second.start_key.get() == notice.server;
                     });
    if (found == m_servers.end())
    {
        return;
    }
    auto& [id, each] = *found;
    if (notice.is_closed)
    {
        each.refusals.on_reported_closed(notice.confirmed_at,
                                         trial_position(notice.server));
    }
    else if (!notice.is_leaving && !notice.rate)
    {
        each.refusals.on_reported_open();
        allow_trials(each.service);
    }
    if (notice.is_leaving && !each.is_leaving)
    {
        each.is_leaving = true;
        log_event(log_level::info,
                  "server.leaving",
                  {{"engine", id.get()},
                   {"requests", each.own_requests},
                   {"learned_from", "router"}});
    }
}

/// Returns the position of this router among those that try a closed server
/// again; the only router is the first.
double server_pool::trial_position(std::uint64_t server) const
{
    constexpr double steps = 1024;
    const auto hash = combine_hashes(stable_hash(m_self.get()), server);
    return static_cast<double>(hash % static_cast<std::uint64_t>(steps)) /
           steps * (1 - 1.0 / m_routers);
}

std::size_t server_pool::leaving_servers() const
{
    return static_cast<std::size_t>(std::count_if(
        m_servers.begin(),
        m_servers.end(),
        [](const auto& each)
        {
            return each.second.is_leaving && each.second.registration.state !=
                                                 directory::server_state::gone;
        }));
}

void server_pool::on_unreadable(const engine_id& id,
                                std::string_view field,
                                const std::string& text)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() ||
        !found->second.unreadable_fields.emplace(field).second)
    {
        return;
    }
    log_event(log_level::warn,
              "answer.field_unreadable",
              {{"engine", id.get()},
               {"field", field},
               {"text", text},
               {"effect", "the field is ignored"}});
}

} // namespace limpet::gateway
