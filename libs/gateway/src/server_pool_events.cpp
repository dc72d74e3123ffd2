#include <limpet/base/log.hpp>
#include <limpet/gateway/server_pool.hpp>
#include <limpet/http/endpoint.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::gateway
{

namespace
{

/// Rest of a server after its first failure in a row, doubled with each
/// further one up to the limit. Short, as most failures are single.
constexpr duration first_rest = milliseconds(250);
constexpr duration longest_rest = seconds(4);
/// Failures in a row from which a server rests; one may be chance.
constexpr std::uint32_t failures_before_rest = 2;
/// Servers of a data centre that could not be reached in a row, with none
/// reached between, from which the way there counts as cut; and the time for
/// which its servers are then left out where there are others.
constexpr std::size_t unreachable_servers = 2;
constexpr duration cut_off_rest = milliseconds(1500);
/// Weight of the newest request in the part of a server's requests that
/// failed, and the time after which that part counts half.
constexpr double failing_weight = 0.2;
constexpr duration failing_half_life = seconds(4);
/// Parts of prompts remembered for each server.
constexpr std::size_t max_parts = 4096;

} // namespace

std::string_view to_string(request_end end) noexcept
{
    switch (end)
    {
    case request_end::answered:
        return "answered";
    case request_end::refused:
        return "refused";
    case request_end::failed:
        return "failed";
    case request_end::unreachable:
        return "unreachable";
    case request_end::broken:
        return "broken";
    case request_end::abandoned:
        return "abandoned";
    }
    return "unknown";
}

void server_pool::apply(const directory::registration& news)
{
    row& held = m_rows[news.id];
    const auto address = http::parse_endpoint(news.address);
    if (!is_ok(address) && news.state != directory::server_state::gone)
    {
        log_event(
            log_level::warn,
            "registration.unusable",
            {{"engine", news.id.get()}, {"reason", error_of(address).message}});
    }
    if (held.known.born_ms != news.born_ms)
    {
        // Another start knows nothing of the former one.
        const std::uint32_t own = held.own;
        held = row{};
        held.own = own;
    }
    held.known = news;
    held.is_reachable = is_ok(address);
    if (held.is_reachable)
    {
        held.address = value_of(address);
    }
}

double server_pool::failing_part(const row& each, time_point now)
{
    const duration since = now - each.failing_at;
    return each.failing *
           std::exp2(-to_seconds(since) / to_seconds(failing_half_life));
}

void server_pool::note_reach(const row& each, bool is_reached, time_point now)
{
    if (each.known.data_centre == m_home)
    {
        return;
    }
    way& there = m_ways[each.known.data_centre];
    if (is_reached)
    {
        there = {};
        return;
    }
    there.unreachable.insert(each.known.id);
    if (there.unreachable.size() >= unreachable_servers)
    {
        there.rests_until = now + cut_off_rest;
        log_event(log_level::warn,
                  "data_centre.unreachable",
                  {{"data_centre", each.known.data_centre.get()},
                   {"servers", there.unreachable.size()},
                   {"rest_ms", to_milliseconds(cut_off_rest)}});
    }
}

void server_pool::on_begin(const engine_id& id,
                           const server_query& query,
                           time_point now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
    {
        return;
    }
    row& each = found->second;
    ++each.own;
    each.cold_tokens = std::max(0.0, each.cold_tokens - 1);
    if (each.parts.size() + query.parts.size() > max_parts)
    {
        forget_old_parts(each, now);
    }
    for (const prompt_part& part : query.parts)
    {
        if (each.parts.size() < max_parts || each.parts.contains(part.id))
        {
            each.parts[part.id] = now;
        }
    }
}

void server_pool::on_end(const engine_id& id, request_end how, time_point now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
    {
        return;
    }
    row& each = found->second;
    each.own -= std::min<std::uint32_t>(each.own, 1);
    if (how != request_end::refused && how != request_end::abandoned)
    {
        each.failing = (1 - failing_weight) * failing_part(each, now) +
                       (how == request_end::answered ? 0 : failing_weight);
        each.failing_at = now;
        note_reach(each, how != request_end::unreachable, now);
    }
    switch (how)
    {
    case request_end::answered:
    case request_end::failed:
        each.failures = 0;
        each.rests_until = {};
        return;
    case request_end::refused:
    case request_end::abandoned:
        return;
    case request_end::unreachable:
        each.failures = std::max(each.failures + 1, failures_before_rest);
        break;
    case request_end::broken:
        ++each.failures;
        break;
    }
    if (each.failures >= failures_before_rest)
    {
        const unsigned doublings =
            std::min(each.failures - failures_before_rest, 8U);
        each.rests_until =
            now + std::min(first_rest * (1U << doublings), longest_rest);
        log_event(log_level::info,
                  "server.rests",
                  {{"engine", id.get()},
                   {"cause", to_string(how)},
                   {"failures", each.failures},
                   {"rest_ms", to_milliseconds(each.rests_until - now)}});
    }
}

void server_pool::on_load(const engine_id& id,
                          const server_load& load,
                          time_point now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
    {
        return;
    }
    row& each = found->second;
    const double stated = load.running + load.waiting;
    each.foreign = std::max(0.0, stated - each.own);
    each.stated_at = now;
}

} // namespace limpet::gateway
