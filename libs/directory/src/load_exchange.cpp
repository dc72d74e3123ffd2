#include <limpet/base/hash.hpp>
#include <limpet/directory/load_exchange.hpp>

#include <algorithm>

namespace limpet::directory
{

namespace
{

/// Time after which a report is dropped. A load changes within about the length
/// of a request; routers discount older reports anyway.
constexpr duration report_lifetime = seconds(5);
/// A router not heard from for this long no longer relies on this replica. A
/// router with traffic sends several frames a second.
constexpr duration router_timeout = seconds(2);
/// Smallest change of a load that is sent, in requests.
constexpr std::uint32_t significant_change = 2;
/// Time after which an unchanged load is sent again, since routers discount a
/// report by its age.
constexpr duration refresh_period = seconds(1);
/// Most reports sent to a receiver at a time. Bounds a router's share of the
/// replica's link with thousands of servers: 12 bytes each, four times a
/// second, are 6 KB/s.
constexpr std::size_t max_reports = 128;

bool is_significant(const load_report& known, const load_report& sent)
{
    const std::uint32_t difference = known.requests > sent.requests
                                         ? known.requests - sent.requests
                                         : sent.requests - known.requests;
    return known.measured_at > sent.measured_at &&
           (difference >= significant_change ||
            known.measured_at - sent.measured_at >= refresh_period);
}

} // namespace

std::uint64_t load_key_of(const engine_id& server) noexcept
{
    return stable_hash(server.get());
}

void load_exchange::record(const load_report& report, bool is_own)
{
    entry& known = m_entries[report.server];
    if (report.measured_at > known.report.measured_at)
    {
        known = {report, is_own};
    }
}

void load_exchange::record_from_router(const vm_id& router,
                                       const std::vector<load_report>& reports,
                                       time_point now)
{
    m_routers[router].heard_at = now;
    for (const load_report& each : reports)
    {
        record(each, true);
    }
}

void load_exchange::record_from_replica(const std::vector<load_report>& reports)
{
    for (const load_report& each : reports)
    {
        record(each, false);
    }
}

std::vector<vm_id> load_exchange::routers(time_point now) const
{
    std::vector<vm_id> result;
    for (const auto& [vm, each] : m_routers)
    {
        if (now < each.heard_at + router_timeout)
        {
            result.push_back(vm);
        }
    }
    return result;
}

std::vector<load_report>
load_exchange::take(sent_reports& sent, bool only_own, time_point now) const
{
    std::vector<load_report> result;
    for (const auto& [server, each] : m_entries)
    {
        const auto previous = sent.find(server);
        const bool is_current = now < each.report.measured_at + report_lifetime;
        if (is_current && (each.is_own || !only_own) &&
            (previous == sent.end() ||
             is_significant(each.report, previous->second)))
        {
            result.push_back(each.report);
        }
    }
    std::sort(result.begin(),
              result.end(),
              [](const load_report& a, const load_report& b)
              {
                  return std::pair(a.requests, a.server) >
                         std::pair(b.requests, b.server);
              });
    result.resize(std::min(result.size(), max_reports));
    for (const load_report& each : result)
    {
        sent[each.server] = each;
    }
    return result;
}

std::vector<load_report> load_exchange::take_for_router(const vm_id& router,
                                                        time_point now)
{
    return take(m_routers[router].sent, false, now);
}

std::vector<load_report> load_exchange::take_for_replicas(time_point now)
{
    return take(m_sent_to_replicas, true, now);
}

void load_exchange::evict_expired(time_point now)
{
    const auto is_expired = [now](const load_report& each)
    {
        return each.measured_at + report_lifetime <= now;
    };
    const auto is_sent_expired = [&is_expired](const auto& each)
    {
        return is_expired(each.second);
    };
    std::erase_if(m_entries,
                  [&is_expired](const auto& each)
                  {
                      return is_expired(each.second.report);
                  });
    std::erase_if(m_sent_to_replicas, is_sent_expired);
    std::erase_if(m_routers,
                  [now](const auto& each)
                  {
                      return each.second.heard_at + router_timeout <= now;
                  });
    for (auto& [vm, each] : m_routers)
    {
        std::erase_if(each.sent, is_sent_expired);
    }
}

} // namespace limpet::directory
