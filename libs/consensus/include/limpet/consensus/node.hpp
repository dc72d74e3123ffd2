/// \file
/// One replica of a replicated log, as a deterministic state machine.

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
#include <string_view>
#include <vector>

namespace limpet::consensus
{

enum class node_role : std::uint8_t
{
    follower,
    pre_candidate, ///< Runs a pre-vote: asks whether it would be elected.
    candidate,
    leader
};

std::string_view to_string(node_role role);

/// Options and recovered state that a node starts with.
struct node_start
{
    vm_id self;
    /// The VMs that may found the group, including this one. If none of them
    /// holds any state, the one with the lowest id founds the group.
    std::vector<vm_id> group;
    /// Whether this node may found the group. Must be false if empty storage
    /// may mean that the previous storage was lost.
    bool may_found = true;
    /// Whether VMs that are not listed in group may join as well.
    bool accepts_any_vm = false;
    /// State recovered from the storage; entries and base may be empty.
    storage::recovered_state state;
    /// Initial state of the state machine of a newly founded group.
    std::optional<std::string> initial_data;
    std::uint64_t seed = 1;
};

/// State of a node, for its driver and for operators.
struct node_view
{
    replica_id self;
    node_role role = node_role::follower;
    term_number term;
    std::optional<replica_id> leader;
    bool has_lease = false;
    /// Votes received in the current election or pre-vote, its own included.
    std::size_t votes = 0;
    log_index last;
    log_index committed;
    log_index applied;
    log_index snapshot;
    membership members;
    /// Highest index known to be durable on each member; empty unless this
    /// node leads.
    std::map<replica_id, log_index> match;
};

/// Replicates commands among a group of replicas.
///
/// An election begins with a pre-vote, so that a replica that cannot win does
/// not disturb the group. A leader that receives no answers from a quorum for
/// the election timeout steps down. It serves reads while its lease lasts,
/// which ends before any other replica can be elected; without a lease it
/// first needs new answers from a quorum. A membership change affects one
/// member. A replica is identified by its VM and the incarnation of its
/// storage, so that a replica that lost its disk cannot vote under its former
/// identity.
///
/// Does no I/O and reads no clock: the driver passes the time and events to
/// step() and carries out the returned actions. Not thread-safe.
class node
{
public:
    /// The driver must have restored the state machine from start.state.base.
    node(const settings& options, node_start start, time_point now);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// Handles one event. The time must not decrease from call to call.
    actions step(time_point now, event what);

    node_view view(time_point now) const;

private:
    class impl;

    std::unique_ptr<impl> m_impl;
};

} // namespace limpet::consensus
