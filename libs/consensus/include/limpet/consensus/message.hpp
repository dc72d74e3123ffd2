/// \file
/// Messages between the replicas of a group.

#pragma once

#include <limpet/consensus/membership.hpp>
#include <limpet/storage/records.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace limpet::consensus
{

/// Identifies a message that a leader sent within its term. It is the leader's
/// clock in nanoseconds, increased where needed to be unique. An answer that
/// repeats the number proves that the follower was in contact with the leader
/// after that time.
using round_number = strong_type<struct round_number_tag, std::uint64_t>;

/// Requests a vote in the message's term.
struct vote_request
{
    /// Pre-vote: only asks whether the vote would be granted.
    bool is_trial = false;
    /// The leader transferred its leadership and gave up its lease, so the
    /// receiver need not wait until that lease has expired.
    bool is_handover = false;
    log_index last;
    term_number last_term;
    /// The leaderless_start that the receiver reported, if all voters have
    /// reported that they are leaderless; otherwise 0.
    std::uint64_t leaderless_start = 0;
};

/// Answers a vote request.
struct vote_answer
{
    bool is_trial = false;
    bool granted = false;
    /// Random number of this start of the replica's process, if the replica has
    /// neither led nor followed a leader since then and its log is not ahead of
    /// the requester's; otherwise 0.
    std::uint64_t leaderless_start = 0;
};

/// Sends the entries that follow the previous one. Without entries it is a
/// heartbeat.
struct append_request
{
    log_index previous;
    term_number previous_term;
    log_index committed;
    round_number round;
    std::vector<storage::log_entry> entries;
};

/// Answers an append request.
struct append_answer
{
    bool accepted = false;
    /// If accepted: the follower durably holds the leader's log up to this
    /// index. If rejected: the index at which the leader should try next.
    log_index match;
    round_number round;
};

/// A part of a snapshot, for a follower whose next entry the leader has
/// compacted.
struct snapshot_chunk
{
    log_index index;
    term_number index_term;
    std::string membership;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    round_number round;
    std::string bytes;
};

/// Reports how many contiguous bytes of the snapshot have arrived.
struct snapshot_answer
{
    log_index index;
    std::uint64_t received = 0;
    round_number round;
};

/// Asks a follower whose log is complete to start an election at once.
struct handover_request
{
};

/// Asks the leader to add the sender unless it is a member. Addressed to a VM;
/// the incarnation in the destination is ignored.
struct join_request
{
    /// The sender holds a log: it belonged to the group and may have been
    /// removed. Without one it has empty storage and belongs to no group.
    bool has_log = false;
};

using message_body = std::variant<vote_request,
                                  vote_answer,
                                  append_request,
                                  append_answer,
                                  snapshot_chunk,
                                  snapshot_answer,
                                  handover_request,
                                  join_request>;

/// A message from one replica to another.
struct message
{
    replica_id from;
    replica_id to;
    term_number term;
    message_body body;
};

} // namespace limpet::consensus
