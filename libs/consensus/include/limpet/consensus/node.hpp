/// \file
/// One replica of the replicated log as a pure state machine.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/base/units.hpp>
#include <limpet/consensus/event.hpp>
#include <limpet/consensus/membership.hpp>
#include <limpet/consensus/settings.hpp>
#include <limpet/storage/records.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpet::consensus
{

enum class node_role : std::uint8_t
{
    follower,
    pre_candidate, ///< Asks whether an election could be won.
    candidate,
    leader
};

/// What a node starts with.
struct node_start
{
    vm_id self;
    /// All VMs that may form the group, this one included. When none of them
    /// has any state, the one with the lowest id founds the group.
    std::vector<vm_id> group;
    /// Whether this node may found the group. False where an empty storage
    /// may be one that was lost.
    bool may_found = true;
    /// Whether VMs outside the group may join it as well.
    bool accepts_any_vm = false;
    /// What the storage holds; entries and base may be empty.
    storage::recovered_state state;
    /// State of the state machine that a newly founded group begins with.
    std::optional<std::string> initial_data;
    std::uint64_t seed = 1;
};

/// State of a node for its host and operators.
struct node_view
{
    replica_id self;
    node_role role = node_role::follower;
    term_number term;
    std::optional<replica_id> leader;
    bool has_lease = false;
    log_index last;
    log_index committed;
    log_index applied;
    log_index snapshot;
    membership members;
    /// Highest index known to be stored by each member; only at the leader.
    std::map<replica_id, log_index> match;
};

/// Replicates commands among a group of replicas.
///
/// Elections have a trial round first, so that a replica that cannot win does
/// not disturb the group. A leader that hears from no quorum for the election
/// timeout steps down; it answers reads only while its lease lasts, which ends
/// before any other replica can be elected. Membership changes one member at
/// a time. A replica is known by its VM and the incarnation of its storage,
/// so that one that lost its disk cannot vote as its former self.
///
/// Does no I/O and reads no clock: the host passes time and events to step()
/// and carries out the actions. Not thread-safe.
class node
{
public:
    /// The host must have restored the state machine from start.state.base.
    node(const settings& options, node_start start, time_point now);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// Handles one event. Times must not decrease.
    actions step(time_point now, event what);

    node_view view(time_point now) const;

private:
    class impl;

    std::unique_ptr<impl> m_impl;
};

} // namespace limpet::consensus
