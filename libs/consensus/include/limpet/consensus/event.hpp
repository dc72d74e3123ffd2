/// \file
/// Events that are passed to a node, and the actions that it returns. Both are
/// exchanged with the node's driver: the code that owns the node, its timer,
/// its storage and its connections.

#pragma once

#include <limpet/consensus/message.hpp>
#include <limpet/storage/records.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpet::consensus
{

/// Identifies a request of the driver. The request's result repeats it.
using ticket = strong_type<struct ticket_tag, std::uint64_t>;

/// Sequence number of a persist request.
using persist_number = strong_type<struct persist_number_tag, std::uint64_t>;

/// Reports that time has passed. Must be sent several times in each heartbeat
/// interval.
struct tick
{
};

/// Reports a message from another replica.
struct message_received
{
    message content;
};

/// A command to replicate.
struct proposal
{
    ticket id;
    std::string command;
};

/// Proposes commands, which are appended to the log in this order.
struct propose
{
    std::vector<proposal> proposals;
};

/// Requests a membership change. Refused unless this replica leads.
struct change_membership
{
    ticket id;
    membership_change change;
};

/// Requests a linearizable read. The result arrives once a read of the local
/// state machine is linearizable.
struct read_barrier
{
    ticket id;
};

/// Reports that all persist requests up to and including this one are durable.
struct persisted
{
    persist_number last;
};

/// Reports that a persist request could not be carried out, or that one was
/// carried out again after that. The driver keeps the requests and tries again.
/// While writes fail, the node stores and acknowledges nothing: it grants no
/// votes, does not campaign, refuses commands and transfers leadership.
struct storage_changed
{
    bool is_writable = true;
};

/// Passes the state machine's state after the entry at the index. The node
/// saves it as a snapshot and compacts the log.
struct compact
{
    log_index index;
    std::string data;
};

/// Requests the transfer of leadership to the most up-to-date voter.
struct hand_over
{
};

/// Reports VMs that may belong to the group. A node that belongs to no group
/// sends join requests to them as well.
struct contacts_learned
{
    std::vector<vm_id> vms;
};

using event = std::variant<tick,
                           message_received,
                           propose,
                           change_membership,
                           read_barrier,
                           persisted,
                           storage_changed,
                           compact,
                           hand_over,
                           contacts_learned>;

/// Data that the driver must make durable, in this order: the hard state, the
/// entries, the snapshot. The driver must carry out persist requests in the
/// order of their numbers.
struct persist_request
{
    persist_number number;
    std::optional<storage::hard_state> hard;
    /// Replace the stored entries from the index of the first one on.
    std::vector<storage::log_entry> entries;
    std::shared_ptr<const storage::snapshot> snapshot;
};

enum class request_state : std::uint8_t
{
    done, ///< The command is committed and applied, or the read may begin.
    /// This replica does not lead or cannot serve the request. The request has
    /// no effect.
    refused,
    /// Leadership was lost before the command was committed. The command may
    /// still take effect.
    unknown
};

/// Result of a request.
struct request_result
{
    ticket id;
    request_state state = request_state::done;
    /// Index of the command's entry; for a read, the index that the state
    /// machine must have applied. 0 if refused.
    log_index index;
};

/// Work that the driver must do after a step. The fields are to be handled in
/// this order. Messages may be sent at once: the node holds back each message
/// that depends on durable state until that state is durable.
struct actions
{
    std::vector<persist_request> persists;
    std::vector<message> sends;
    /// Snapshot that replaces the state machine's state, before the entries of
    /// apply.
    std::shared_ptr<const storage::snapshot> restore;
    /// Committed entries to apply, in the order of the log.
    std::vector<storage::log_entry> apply;
    std::vector<request_result> results;
};

} // namespace limpet::consensus
