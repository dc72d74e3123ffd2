/// \file
/// A replica of the replicated log, with its storage, running on an event loop.

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
    /// This VM, and all VMs of the control group including this one. A new
    /// group is founded only if all of them have an empty data folder.
    vm_id self;
    std::vector<vm_id> group;
    /// Whether this replica may found the group, and whether VMs outside it
    /// may join; see consensus::node_start.
    bool may_found = true;
    bool accepts_any_vm = false;
    /// Existing folder for the log and snapshots.
    std::string folder;
    /// Initial state of a new group, restored from a backup: bytes that the
    /// save callback returned. Ignored unless this replica founds the group.
    std::optional<std::string> initial_data;
    /// Number of entries applied after a snapshot before the next one is taken.
    std::uint64_t snapshot_interval_entries = 10'000;
    consensus::settings consensus;
};

/// Delays at one timer tick of the replica.
struct tick_delays
{
    /// Time from the moment the tick was due to its handling, which every
    /// other event of the loop waited too.
    duration late{};
    /// Since the last tick, the longest time from a request to write to the
    /// handling of its completion, 0 if none completed.
    duration persist{};
    /// Since the last tick, the longest time from a leader's message to the
    /// handling of the answer, 0 at followers.
    duration round_trip{};
};

/// Callbacks into the program that hosts the replica. All are called on the
/// thread that runs the io_context.
struct replica_callbacks
{
    /// Applies a committed command and returns its answer. Called once for
    /// each command after the last snapshot, in log order.
    std::function<std::string(log_index, std::string_view)> apply;
    /// Returns the complete state of the state machine, encoded.
    std::function<std::string()> save;
    /// Replaces the state by bytes that save returned. After an error, the
    /// replica takes no further part in the group until it is restarted.
    std::function<status(std::string_view)> restore;
    /// Called with each command that this replica stores, before it is
    /// committed, and at the start with those that it has stored; may be empty.
    /// A command that is not committed may be replaced later.
    std::function<void(log_index, std::string_view)> stored;
    /// Sends a message to the replica on the VM. Messages may be dropped,
    /// delayed or reordered.
    std::function<void(const vm_id&, std::vector<std::uint8_t>)> send;
    /// Called at each timer tick; may be empty.
    std::function<void(const tick_delays&)> ticked;
};

/// Answer to a committed command.
struct proposal_result
{
    log_index index;
    /// Return value of the apply callback.
    std::string answer;
};

/// A member of the group as known to this replica.
struct member_view
{
    replica_id id;
    bool voter = false;
    /// Highest index known to be stored by the member; known only at the
    /// leader.
    log_index match;
};

/// State of the replica, for operators and metrics.
struct replica_view
{
    replica_id self;
    term_number term;
    bool is_leader = false;
    /// Whether this replica is the leader and its lease is valid, so that reads
    /// need no round trip.
    bool has_lease = false;
    std::optional<replica_id> leader;
    log_index last;
    log_index committed;
    log_index applied;
    log_index snapshot;
    /// Whether the last write to the disk succeeded, and how often writes have
    /// begun to fail. Without it, this replica acknowledges nothing and grants
    /// no votes.
    bool is_storage_writable = true;
    std::uint64_t write_failures = 0;
    std::vector<member_view> members;
};

using proposal_callback = std::function<void(outcome<proposal_result>)>;
using status_callback = std::function<void(status)>;

/// Opens the storage in the folder, or creates it, and closes it again: what a
/// replica needs before it can start. Errors: io_error, such as for a full disk
/// or a missing folder; corrupt.
status check_storage(const std::string& folder);

/// Hosts one consensus node. Disk writes run on a separate thread, which groups
/// all requests that arrived during a sync into the next one. Everything else
/// runs on the io_context; all member functions must be called on the thread
/// that runs it.
///
/// Errors of propose and of membership changes: not_leader means that the
/// command does not take effect. unavailable means that it is unknown whether
/// the command takes effect, because leadership was lost before it was
/// committed or because the replica stopped.
///
/// Writes that fail, on a full disk for example, are tried again until they
/// succeed. Meanwhile another replica leads and this one keeps its state.
class replica
{
public:
    /// Opens or creates the storage. Restores the last snapshot through the
    /// callbacks before it returns. Errors: io_error, corrupt.
    static outcome<std::unique_ptr<replica>>
    open(boost::asio::io_context& context,
         replica_settings settings,
         replica_callbacks callbacks);

    /// Waits for pending disk writes. Callbacks that were not called yet are
    /// dropped.
    ~replica();

    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Starts the timers. Call once.
    void start();

    /// Replicates a command. `done` is called with the answer of the apply
    /// callback once the command is committed and applied at this replica.
    void propose(std::string command, proposal_callback done);

    /// Calls `done` once a read of the local state is linearizable. Succeeds
    /// only at the leader: immediately if its lease is valid, otherwise after a
    /// round of heartbeats.
    void read_barrier(status_callback done);

    /// Handles a message from the replica on another VM. Malformed messages are
    /// counted, logged and dropped.
    void receive(const vm_id& from, const std::vector<std::uint8_t>& bytes);

    /// Adds VMs that may be members of the group. Used by a replica that is not
    /// a member yet to find the group.
    void add_contacts(std::vector<vm_id> vms);

    /// Adds a replica that receives the log but does not vote.
    void add_learner(replica_id id, status_callback done);

    /// Makes a caught-up learner a voter.
    void promote(replica_id id, status_callback done);

    /// Removes a member.
    void remove(replica_id id, status_callback done);

    /// Transfers leadership if this replica is the leader, syncs and then calls
    /// `done`. Afterwards only view() may be called.
    void stop(status_callback done);

    replica_view view() const;

private:
    class impl;

    explicit replica(std::shared_ptr<impl> body);

    std::shared_ptr<impl> m_impl;
};

} // namespace limpet::replica
