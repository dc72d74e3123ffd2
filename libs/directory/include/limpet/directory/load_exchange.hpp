/// \file
/// Exchange of the servers' loads among the routers that share the servers.

#pragma once

#include <limpet/directory/load_peer.hpp>

#include <map>
#include <utility>
#include <vector>

namespace limpet::directory
{

/// Adds up the requests that routers have in flight at each server. A control
/// replica has one: it tells the other replicas the sums of the routers that
/// rely on it, and each of these routers the sums of all others. It passes the
/// newest limits of the servers on to all. Takes the time as an argument; not
/// thread-safe.
class load_exchange
{
public:
    using addressed_update = std::pair<vm_id, load_update>;

    /// Records what a router sent that relies on this replica.
    void record_router(const vm_id& router,
                       const load_update& update,
                       time_point now);

    /// Records what another replica sent.
    void record_replica(const vm_id& replica,
                        const load_update& update,
                        time_point now);

    /// Handles the loss of the link to the peer.
    void on_lost(const vm_id& peer);

    /// Returns the requests in flight at each server, as far as they are known.
    load_counts total() const;

    /// Returns what the routers counted of the rollout.
    rollout::evidence evidence_of(rollout::rollout_id rollout) const;

    /// Removes the evidence of all rollouts but these.
    void retain_evidence(const std::vector<rollout::rollout_id>& running);

    /// Returns the messages to the replicas and to the routers that rely on
    /// this one, as far as they have answered the last ones.
    std::vector<addressed_update>
    take_updates(const std::vector<vm_id>& replicas, time_point now);

private:
    struct peer
    {
        load_peer exchanged;
        time_point heard_at{};
        /// Of a replica: rows of this replica's routers, and which it was sent.
        rollout::evidence_table evidence;
    };

    using peers = std::map<vm_id, peer>;

    void record(peer& from, const load_update& update, time_point now);
    static load_counts sum_of(const peers& all);
    void take_for_replicas(std::vector<addressed_update>& updates,
                           const std::vector<vm_id>& replicas,
                           const load_counts& own_sums,
                           time_point now);
    void take_for_routers(std::vector<addressed_update>& updates,
                          const load_counts& sums,
                          time_point now);
    static void forget_silent(peers& all, time_point now);

    peers m_routers;
    peers m_replicas;
    limit_table m_limits;
    /// Rows of all routers, and those of the routers that rely on this replica.
    rollout::evidence_table m_evidence;
    rollout::evidence_table m_own_evidence;
};

} // namespace limpet::directory
