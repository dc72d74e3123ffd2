#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/gateway/server_pool.hpp>
#include <limpet/http/endpoint.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::gateway
{

namespace
{

/// Initial backoff of a failing server, doubled with each further consecutive
/// failure up to the maximum. Short, since most failures are isolated.
constexpr duration initial_backoff = milliseconds(250);
constexpr duration max_backoff = seconds(4);
/// Consecutive failures that start a backoff; a single failure may be chance.
constexpr std::uint32_t failures_before_backoff = 2;
/// Number of servers of another data centre that are found unreachable, with
/// none reached in between, from which the data centre counts as unreachable;
/// and the time for which its servers are then skipped if there are others.
constexpr std::size_t unreachable_threshold = 2;
constexpr duration unreachable_backoff = milliseconds(1500);
/// Weight of the newest request in the moving average of a server's failure
/// rate, and the half-life with which the average decays.
constexpr double failure_rate_weight = 0.2;
constexpr duration failure_rate_half_life = seconds(4);
/// Time for which a server's former version is remembered, as long as replicas
/// remember servers that have left.
constexpr duration former_version_retention = seconds(60);
/// Most prompt parts tracked for each server, as long as those of all servers
/// stay within their memory of a few megabytes, and the fewest.
constexpr std::size_t max_tracked_parts = 4096;
constexpr std::size_t all_tracked_parts = 96UL * 1024;
constexpr std::size_t min_tracked_parts = 32;

} // namespace

std::string_view to_string(attempt_outcome end) noexcept
{
    switch (end)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::unreachable:
        return "unreachable";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::abandoned:
        return "abandoned";
    }
    return "unknown";
}

void server_pool::record_former_version(const server_record& former,
                                        time_point now)
{
    std::erase_if(m_former_versions,
                  [now](const former_version& each)
                  {
                      return each.left_at + former_version_retention < now;
                  });
    m_former_versions.push_back(
        {former.service,
         former.version,
         former.registration.state == directory::server_state::gone
             ? former.left_at
             : now});
}

void server_pool::apply(const directory::registration& registration,
                        time_point now)
{
    const auto [entry, is_new] = m_servers.try_emplace(registration.id);
    server_record& server = entry->second;
    const bool was_registered =
        !is_new && server.registration.state != directory::server_state::gone;
    const time_point left_at =
        was_registered ? now : std::max(server.left_at, registration.heard_at);
    const auto address = http::parse_endpoint(registration.address);
    if (!is_ok(address) && registration.state != directory::server_state::gone)
    {
        log_event(log_level::warn,
                  "registration.unusable",
                  {{"engine", registration.id.get()},
                   {"reason", error_of(address).message}});
    }
    const bool is_other_version =
        is_new || server.registration.service != registration.service ||
        server.registration.version != registration.version;
    if (is_other_version && !is_new)
    {
        record_former_version(server, now);
    }
    const bool is_start =
        is_new || server.registration.born_ms != registration.born_ms;
    const time_point known_since =
        is_start || is_other_version ? now : server.known_since;
    if (server.registration.born_ms != registration.born_ms)
    {
        // A restarted server has none of its former state. This router's
        // requests in flight are still counted until they end.
        const std::uint32_t own_requests = server.own_requests;
        server = server_record{};
        server.own_requests = own_requests;
    }
    server.left_at = left_at;
    server.known_since = known_since;
    server.load_key = directory::load_key_of(registration.id);
    server.service = origins::make_service_key(registration.service);
    server.version =
        origins::make_version_key(registration.service, registration.version);
    server.start_key = quarantine::server_key(combine_hashes(
        stable_hash(registration.id.get()), registration.born_ms));
    server.registration = registration;
    const auto* notice = m_limits.find(server.start_key.get());
    server.is_leaving =
        server.is_leaving || (notice != nullptr && notice->is_leaving);
    server.has_valid_address = is_ok(address);
    if (server.has_valid_address)
    {
        server.address = value_of(address);
    }
}

double server_pool::decayed_failure_rate(const server_record& each,
                                         time_point now)
{
    const duration since = now - each.failure_rate_at;
    return each.failure_rate *
           std::exp2(-to_seconds(since) / to_seconds(failure_rate_half_life));
}

void server_pool::record_reachability(const server_record& each,
                                      bool is_reached,
                                      time_point now)
{
    if (each.registration.data_centre == m_home)
    {
        return;
    }
    reachability& path = m_reachability[each.registration.data_centre];
    if (is_reached)
    {
        path = {};
        return;
    }
    path.unreachable.insert(each.registration.id);
    if (path.unreachable.size() >= unreachable_threshold)
    {
        path.backoff_until = now + unreachable_backoff;
        log_event(log_level::warn,
                  "data_centre.unreachable",
                  {{"data_centre", each.registration.data_centre.get()},
                   {"servers", path.unreachable.size()},
                   {"rest_ms", to_milliseconds(unreachable_backoff)}});
    }
}

bool server_pool::is_farther_than_others(const engine_id& id) const
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() ||
        found->second.registration.data_centre == m_home)
    {
        return false;
    }
    return std::any_of(m_servers.begin(),
                       m_servers.end(),
                       [this, &found](const auto& entry)
                       {
                           const auto& [other, each] = entry;
                           return each.registration.data_centre == m_home &&
                                  each.registration.service ==
                                      found->second.registration.service &&
                                  each.registration.state ==
                                      directory::server_state::ready;
                       });
}

void server_pool::on_begin(const engine_id& id,
                           const server_query& query,
                           time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return;
    }
    server_record& each = found->second;
    ++each.own_requests;
    if (m_rollouts)
    {
        m_rollouts->on_sent(
            each.registration.service, each.registration.version, now);
    }
    each.refusals.on_sent(now);
    each.cold_requests.take();
    take_brittle_capacity(each);
    if (query.reserved != id)
    {
        each.limited_requests.take();
    }
    const std::size_t most_parts =
        std::clamp(all_tracked_parts / m_servers.size(),
                   min_tracked_parts,
                   max_tracked_parts);
    if (each.parts.size() + query.parts.size() > most_parts)
    {
        evict_expired_parts(each, now);
    }
    for (const prompt_part& part : query.parts)
    {
        if (each.parts.size() < most_parts || each.parts.contains(part.id))
        {
            each.parts[part.id] = now;
        }
    }
}

void server_pool::on_end(const engine_id& id,
                         attempt_outcome outcome,
                         time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return;
    }
    server_record& each = found->second;
    each.own_requests -= std::min<std::uint32_t>(each.own_requests, 1);
    if (outcome != attempt_outcome::refused &&
        outcome != attempt_outcome::answered)
    {
        each.refusals.on_abandoned();
    }
    if (outcome != attempt_outcome::refused &&
        outcome != attempt_outcome::abandoned)
    {
        each.failure_rate =
            (1 - failure_rate_weight) * decayed_failure_rate(each, now) +
            (outcome == attempt_outcome::answered ? 0 : failure_rate_weight);
        each.failure_rate_at = now;
        record_reachability(each, outcome != attempt_outcome::unreachable, now);
    }
    switch (outcome)
    {
    case attempt_outcome::answered:
    case attempt_outcome::failed:
        each.failures = 0;
        each.backoff_until = {};
        allow_replacement(each, now);
        return;
    case attempt_outcome::refused:
    case attempt_outcome::abandoned:
        return;
    case attempt_outcome::unreachable:
        each.failures = std::max(each.failures + 1, failures_before_backoff);
        break;
    case attempt_outcome::broken:
        ++each.failures;
        break;
    }
    if (each.failures >= failures_before_backoff)
    {
        const unsigned doublings =
            std::min(each.failures - failures_before_backoff, 8U);
        each.backoff_until =
            now + std::min(initial_backoff * (1U << doublings), max_backoff);
        log_event(log_level::info,
                  "server.rests",
                  {{"engine", id.get()},
                   {"cause", to_string(outcome)},
                   {"failures", each.failures},
                   {"rest_ms", to_milliseconds(each.backoff_until - now)}});
    }
}

} // namespace limpet::gateway
