/// \file
/// Exchange of the servers' loads among the routers that share the servers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace limpet::directory
{

/// Interval at which routers and replicas send the loads that they know. A
/// report passes two replicas at most, so it is known everywhere within three
/// intervals.
constexpr duration load_exchange_period = milliseconds(250);

/// Identifies a server in load reports: a stable hash of its id.
std::uint64_t load_key_of(const engine_id& server) noexcept;

/// Load that a server reported with a response to one of the routers.
struct load_report
{
    std::uint64_t server = 0;
    /// Requests that the server runs or queues, of all routers.
    std::uint32_t requests = 0;
    time_point measured_at{};
};

/// Loads that a control replica passes on: from its routers to the other
/// replicas, and from both to its routers. A receiver is sent what differs from
/// what it was sent last, the most loaded servers first, and only a bounded
/// number of reports at a time. Takes the time as an argument; not thread-safe.
class load_exchange
{
public:
    /// Records the reports of a router that relies on this replica.
    void record_from_router(const vm_id& router,
                            const std::vector<load_report>& reports,
                            time_point now);

    /// Records what another replica passed on.
    void record_from_replica(const std::vector<load_report>& reports);

    /// Returns the routers that sent a frame recently.
    std::vector<vm_id> routers(time_point now) const;

    /// Returns what is to be sent to the router and counts it as sent.
    std::vector<load_report> take_for_router(const vm_id& router,
                                             time_point now);

    /// Returns what is to be sent to the other replicas: reports of this
    /// replica's own routers. Counts it as sent.
    std::vector<load_report> take_for_replicas(time_point now);

    /// Drops old reports and routers not heard from for a while.
    void evict_expired(time_point now);

private:
    struct entry
    {
        load_report report;
        /// Whether one of this replica's own routers reported it.
        bool is_own = false;
    };

    /// Last report of each server that was sent to a receiver.
    using sent_reports = std::unordered_map<std::uint64_t, load_report>;

    struct receiver
    {
        time_point heard_at{};
        sent_reports sent;
    };

    void record(const load_report& report, bool is_own);
    std::vector<load_report>
    take(sent_reports& sent, bool only_own, time_point now) const;

    std::unordered_map<std::uint64_t, entry> m_entries;
    std::map<vm_id, receiver> m_routers;
    sent_reports m_sent_to_replicas;
};

} // namespace limpet::directory
