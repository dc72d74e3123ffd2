/// \file
/// Failure detection by direct and indirect probes.

#pragma once

#include "outbox.hpp"
#include "quorum.hpp"

#include <optional>

namespace limpet::membership
{

/// Probes the region's routers in random rotation. Routers of the local data
/// centre are probed more often, as their answers also extend this router's
/// lease. A router that answers neither a direct nor an indirect probe becomes
/// suspect and, unless it refutes the suspicion in time, dead.
class prober
{
public:
    prober(region_state& state, quorum& grants, outbox& out, time_point now);

    /// Sends the probes that are due and handles timeouts.
    void tick(time_point now);

    void on_ping(const stored_router& from, const ping& probe, time_point now);
    void on_ack(key from, const ack& answer, time_point now);

    /// Answers the probe of a router whose incarnation is unknown, which makes
    /// that router join.
    void reject_unknown(const peer& to, const ping& probe);

    /// Probes all voters at once, to renew or obtain the lease quickly.
    void probe_voters(time_point now);

private:
    struct pending_probe
    {
        key target = 0;
        time_point sent;
        time_point deadline;
        bool indirect = false;
    };

    /// A probe sent on behalf of another router.
    struct relayed_probe
    {
        key requester = 0;
        std::uint32_t sequence = 0;
        key subject = 0;
        time_point deadline;
    };

    /// Routers still to be probed in the current rotation.
    struct rotation
    {
        /// Whether the rotation covers the local data centre or all others.
        bool is_local = false;
        std::vector<key> remaining;
    };

    std::uint32_t send_ping(const stored_router& to, time_point now);
    void add_recent_changes(const stored_router& to,
                            time_point now,
                            updates& changes) const;
    void probe(key target, time_point now);
    void probe_next(time_point now);
    void contact_removed_router();
    std::optional<key> next_target(rotation& turn);
    void refill(rotation& turn);
    void expire_probes(time_point now);
    void expire_suspects(time_point now);
    void send_indirect_probes(std::uint32_t sequence, const pending_probe& one);
    void suspect(key target, time_point now);
    void renew_lease(time_point now);
    void complete_relay(std::uint32_t sequence);

    region_state& m_state;
    quorum& m_quorum;
    outbox& m_out;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_probe_count = 0;
    time_point m_next_probe;
    time_point m_next_renewal;
    std::map<std::uint32_t, pending_probe> m_pending_probes;
    std::map<std::uint32_t, relayed_probe> m_relayed_probes;
    rotation m_local{true, {}};
    rotation m_remote{false, {}};
};

} // namespace limpet::membership
