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

double load_report_weight(duration age, std::uint32_t routers)
{
    const double scale = std::max(
        1.0, static_cast<double>(routers) / half_life_reference_routers);
    return std::exp2(-to_seconds(age) /
                     (scale * to_seconds(load_report_half_life)));
}

} // namespace

double server_pool::load_of(const server_record& each, time_point now) const
{
    return each.own_requests +
           each.other_routers_requests *
               load_report_weight(now - each.load_reported_at, m_routers);
}

void server_pool::record_load(server_record& each,
                              double reported,
                              time_point measured_at)
{
    each.other_routers_requests = std::max(0.0, reported - each.own_requests);
    each.load_reported_at = measured_at;
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
    const std::uint32_t reported = load.running + load.waiting;
    record_load(found->second, reported, now);
    const std::uint64_t key = directory::load_key_of(id);
    m_untaken_reports[key] = {key, reported, now};
}

void server_pool::on_shared_load(const directory::load_report& report)
{
    const auto id = m_ids_by_load_key.find(report.server);
    if (id == m_ids_by_load_key.end())
    {
        return;
    }
    server_record& each = m_servers[id->second];
    if (report.measured_at > each.load_reported_at &&
        report.measured_at >= each.registered_at)
    {
        record_load(each, report.requests, report.measured_at);
    }
}

std::vector<directory::load_report> server_pool::take_load_reports()
{
    std::vector<directory::load_report> result;
    result.reserve(m_untaken_reports.size());
    for (const auto& [key, report] : m_untaken_reports)
    {
        result.push_back(report);
    }
    m_untaken_reports.clear();
    return result;
}

} // namespace limpet::gateway
