#include <limpet/gateway/server_pool.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::gateway
{

namespace
{

/// Half-life of a load report's weight, about the length of a short request. It
/// grows in proportion to the number of routers above the reference number,
/// since each router then receives reports of a server less often.
constexpr duration load_report_half_life = seconds(1);
constexpr std::uint32_t half_life_reference_routers = 9;

/// Time without a message of the exchange after which the servers' own reports
/// count again: ten intervals.
constexpr duration exchange_timeout = seconds(1);

double load_report_weight(duration age, std::uint32_t routers)
{
    const double scale = std::max(
        1.0, static_cast<double>(routers) / half_life_reference_routers);
    return std::exp2(-to_seconds(age) /
                     (scale * to_seconds(load_report_half_life)));
}

} // namespace

std::string_view to_string(load_source source) noexcept
{
    switch (source)
    {
    case load_source::none:
        return "none";
    case load_source::report:
        return "report";
    case load_source::exchange:
        return "exchange";
    }
    return "unknown";
}

load_source server_pool::load_source_of(const server_record& each,
                                        time_point now) const
{
    if (m_load_peer_heard_at != time_point{} &&
        now < m_load_peer_heard_at + exchange_timeout)
    {
        return load_source::exchange;
    }
    return each.load_reported_at == time_point{} ? load_source::none
                                                 : load_source::report;
}

double server_pool::load_of(const server_record& each, time_point now) const
{
    const double own_requests = each.own_requests;
    switch (load_source_of(each, now))
    {
    case load_source::exchange:
        return own_requests +
               directory::count_of(m_load_peer.received(), each.load_key);
    case load_source::report:
        return own_requests +
               each.other_routers_requests *
                   load_report_weight(now - each.load_reported_at, m_routers);
    case load_source::none:
        break;
    }
    return own_requests;
}

void server_pool::on_load(const engine_id& id,
                          const server_load& load,
                          time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return;
    }
    server_record& each = found->second;
    const double reported = load.running + load.waiting;
    each.other_routers_requests = std::max(0.0, reported - each.own_requests);
    each.load_reported_at = now;
    each.waiting_requests = load.waiting;
    if (load.slowdown)
    {
        each.slowdown = load.slowdown;
    }
}

/// Returns how long work takes at the server as a multiple of the usual time.
/// A report loses weight like one of the load, as it soon no longer holds.
double server_pool::slowdown_of(const server_record& each, time_point now) const
{
    return each.slowdown
               ? 1 + (*each.slowdown - 1) *
                         load_report_weight(now - each.load_reported_at, 1)
               : 1;
}

std::optional<directory::load_update>
server_pool::take_load_update(time_point now)
{
    if (!m_load_peer.may_send(now))
    {
        return std::nullopt;
    }
    directory::load_counts current;
    for (const auto& [id, each] : m_servers)
    {
        directory::set_count(current, {each.load_key, each.own_requests});
    }
    const directory::load_limits limits;
    directory::load_update update = m_load_peer.take(current, limits, now);
    m_limits.remove_unconfirmed(now);
    m_load_peer.add_server_limits(update, m_limits, limits);
    if (m_rollouts)
    {
        update.evidence = m_rollouts->take_changed(now);
    }
    return update;
}

void server_pool::on_load_update(const directory::load_update& update,
                                 time_point now)
{
    m_load_peer.apply(update);
    m_load_peer_heard_at = now;
    for (const directory::server_limit& each : update.limits)
    {
        if (m_limits.merge(each))
        {
            apply_notice(each);
        }
    }
}

void server_pool::on_load_peer_lost()
{
    m_load_peer.on_lost();
    if (m_rollouts)
    {
        m_rollouts->send_all_again();
    }
}

void server_pool::on_load_peer_replaced()
{
    m_load_peer = {};
    m_load_peer_heard_at = {};
    if (m_rollouts)
    {
        m_rollouts->send_all_again();
    }
}

} // namespace limpet::gateway
