/// \file
/// A replica of the replicated log, with its storage, on an event loop.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/consensus/settings.hpp>
#include <limpet/storage/ids.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::replica
{

using storage::log_index;
using storage::replica_id;
using storage::term_number;

/// Settings of a replica.
struct replica_settings
{
    /// This VM and all VMs of the control group, itself included. A new group
    /// is founded only when every one of them has an empty data folder.
    vm_id self;
    std::vector<vm_id> group;
    /// Whether this replica may found the group, and whether VMs outside it
    /// may join; see consensus::node_start.
    bool may_found = true;
    bool accepts_any_vm = false;
    /// Existing folder for the log and snapshots.
    std::string folder;
    /// State that a new group begins with, as save() returned it: a backup.
    /// Without effect unless this replica founds the group.
    std::optional<std::string> initial_data;
    /// Entries applied since the last snapshot before the next is taken.
    std::uint64_t snapshot_interval_entries = 10'000;
    consensus::settings consensus;
};

/// Hooks of the program around the replica. All are called on the thread
/// that runs the io_context.
struct replica_callbacks
{
    /// Applies a committed command and returns its answer. Called once for
    /// each command after the last snapshot, in the order of the log.
    std::function<std::string(log_index, std::string_view)> apply;
    /// Returns the whole state as bytes.
    std::function<std::string()> save;
    /// Replaces the whole state by saved bytes.
    std::function<void(std::string_view)> restore;
    /// Sends bytes to the VM's replica. May drop, delay or reorder them.
    std::function<void(const vm_id&, std::vector<std::uint8_t>)> send;
    /// Tells that the storage failed. The replica acknowledges nothing more;
    /// the program should stop.
    std::function<void(const error&)> failed;
};

/// Answer to a committed command.
struct proposal_result
{
    log_index index;
    /// What apply returned.
    std::string answer;
};

/// A member of the group as seen by this replica.
struct member_view
{
    replica_id id;
    bool voter = false;
    /// Highest index known to be stored there; only at the leader.
    log_index match;
};

/// State of the replica for operators.
struct replica_view
{
    replica_id self;
    term_number term;
    bool is_leader = false;
    /// Whether the leader's lease holds, so that reads need no round trip.
    bool has_lease = false;
    std::optional<replica_id> leader;
    log_index last;
    log_index committed;
    log_index applied;
    log_index snapshot;
    std::vector<member_view> members;
};

using proposal_callback = std::function<void(outcome<proposal_result>)>;
using status_callback = std::function<void(status)>;

/// Hosts one consensus node: disk work runs on a thread of its own, with one
/// sync for all that arrived meanwhile; everything else runs on the
/// io_context. All members must be called on the thread that runs it.
///
/// Errors of propose and of membership changes: not_leader means that the
/// command is certain not to take effect; unavailable means that its fate is
/// unknown, because leadership was lost before it was committed.
class replica
{
public:
    /// Opens or creates the storage; restores the state through callbacks
    /// before it returns. Fails if the storage is corrupt.
    static outcome<std::unique_ptr<replica>>
    open(boost::asio::io_context& context,
         replica_settings settings,
         replica_callbacks callbacks);

    /// Waits for disk work under way and drops callbacks not yet called.
    ~replica();

    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Starts timers. Call once.
    void start();

    /// Replicates a command. The callback gets the answer of apply once the
    /// command is committed and applied here.
    void propose(std::string command, proposal_callback done);

    /// Calls back once a read of the local state is linearizable: at the
    /// leader, with its lease or after a round of heartbeats.
    void read_barrier(status_callback done);

    /// Takes bytes that another VM's replica sent. Malformed bytes are
    /// counted and dropped.
    void receive(const vm_id& from, const std::vector<std::uint8_t>& bytes);

    /// Names VMs that may belong to the group, for a replica without one.
    void learn_contacts(std::vector<vm_id> vms);

    /// Adds a replica that receives the log but does not vote.
    void add_learner(replica_id id, status_callback done);

    /// Makes a caught-up learner a voter.
    void promote(replica_id id, status_callback done);

    /// Removes a member.
    void remove(replica_id id, status_callback done);

    /// Hands leadership over if this is the leader, syncs and calls back.
    /// The replica must not be used afterwards but for view().
    void stop(status_callback done);

    replica_view view() const;

private:
    class impl;

    explicit replica(std::shared_ptr<impl> body);

    std::shared_ptr<impl> m_impl;
};

} // namespace limpet::replica
