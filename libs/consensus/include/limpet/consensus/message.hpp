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

/// Number of a message that a leader sent within its term. It is the leader's
/// time in nanoseconds, made unique, so that an answer that repeats it proves
/// contact with the follower after that time.
using round_number = strong_type<struct round_number_tag, std::uint64_t>;

/// Asks for a vote in the message's term.
struct vote_request
{
    /// Only asks whether the vote would be granted.
    bool is_trial = false;
    /// The leader handed over, so its lease does not count.
    bool is_handover = false;
    log_index last;
    term_number last_term;
    /// The receiver's own leaderless_start, once all voters gave theirs.
    std::uint64_t leaderless_start = 0;
};

struct vote_answer
{
    bool is_trial = false;
    bool granted = false;
    /// Number of this start of the replica, if it has neither led nor followed
    /// a leader since and its log is no longer than the asking one; or else 0.
    std::uint64_t leaderless_start = 0;
};

/// Sends entries that follow the previous one; without entries a heartbeat.
struct append_request
{
    log_index previous;
    term_number previous_term;
    log_index committed;
    round_number round;
    std::vector<storage::log_entry> entries;
};

struct append_answer
{
    bool accepted = false;
    /// Accepted: the follower durably holds the leader's log up to here.
    /// Rejected: where the leader should try next.
    log_index match;
    round_number round;
};

/// A part of a snapshot for a follower whose next entry is compacted.
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

/// Tells how many bytes in a row arrived.
struct snapshot_answer
{
    log_index index;
    std::uint64_t received = 0;
    round_number round;
};

/// Tells a follower that holds the whole log to start an election at once.
struct handover_request
{
};

/// Asks the leader to add the sender, which belongs to no group. Sent to a
/// VM, whatever its incarnation.
struct join_request
{
};

using message_body = std::variant<vote_request,
                                  vote_answer,
                                  append_request,
                                  append_answer,
                                  snapshot_chunk,
                                  snapshot_answer,
                                  handover_request,
                                  join_request>;

struct message
{
    replica_id from;
    replica_id to;
    term_number term;
    message_body body;
};

} // namespace limpet::consensus
