/// \file
/// What a node is told and what it asks its host to do.

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

/// Number that the host gives a request to find it again in the results.
using ticket = strong_type<struct ticket_tag, std::uint64_t>;

/// Number of a persist request.
using persist_number = strong_type<struct persist_number_tag, std::uint64_t>;

/// Time passed. To be sent a few times in each heartbeat interval.
struct tick
{
};

/// A message arrived.
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

/// Commands to replicate, in this order.
struct propose
{
    std::vector<proposal> proposals;
};

struct change_membership
{
    ticket id;
    membership_change change;
};

/// Asks when a read of the local state is linearizable.
struct read_barrier
{
    ticket id;
};

/// All persist requests up to this one are durable.
struct persisted
{
    persist_number last;
};

/// The state machine's state after the entry at the index, for compaction.
struct compact
{
    log_index index;
    std::string data;
};

/// Hand leadership over to the most up-to-date voter.
struct hand_over
{
};

/// VMs that may belong to the group. A node without a group asks them too.
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
                           compact,
                           hand_over,
                           contacts_learned>;

/// What to make durable, in this order: the hard state, the entries, the
/// snapshot. Requests must be carried out in the order of their numbers.
struct persist_request
{
    persist_number number;
    std::optional<storage::hard_state> hard;
    /// The first one replaces stored entries of its index and after.
    std::vector<storage::log_entry> entries;
    std::shared_ptr<const storage::snapshot> snapshot;
};

enum class request_state : std::uint8_t
{
    done,    ///< Committed and applied, or readable.
    refused, ///< Not leader or not possible: certain to have no effect.
    unknown  ///< Leadership was lost before the fate was known.
};

/// Answer to a request.
struct request_result
{
    ticket id;
    request_state state = request_state::done;
    /// Index of the command; for reads the index to read at.
    log_index index;
};

/// What the host must do. Fields are to be handled in this order; messages
/// may be sent at once, since those that need durable state are held back
/// until it is.
struct actions
{
    std::vector<persist_request> persists;
    std::vector<message> sends;
    /// Replaces the state machine's state, before apply.
    std::shared_ptr<const storage::snapshot> restore;
    /// Committed entries in the order of the log.
    std::vector<storage::log_entry> apply;
    std::vector<request_result> results;
};

} // namespace limpet::consensus
