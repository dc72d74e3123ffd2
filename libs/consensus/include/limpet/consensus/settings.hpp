/// \file
/// Settings of the consensus protocol.

#pragma once

#include <limpet/base/units.hpp>

#include <cstddef>

namespace limpet::consensus
{

/// Times and sizes of the protocol. All replicas of a group must use equal
/// election_timeout and clock_drift values, since leases rely on them.
struct settings
{
    /// Time between a leader's heartbeats.
    duration heartbeat_interval = milliseconds(250);
    /// A replica that heard from a leader grants no vote for this long. A
    /// replica starts an election after one to two times this long.
    duration election_timeout = milliseconds(1500);
    /// Replicas that all started this long ago and have known no leader since
    /// elect one without waiting for the promises of before to run out. Twice
    /// the time that a question to all and their answers may take.
    duration leaderless_window = milliseconds(150);
    /// Highest rate by which a clock may run fast or slow, as a part of 1.
    double clock_drift = 0.01;
    /// Most bytes of entries in one message; at least one entry is sent.
    std::size_t append_bytes = 64UL * 1024;
    /// Most entries sent ahead of a follower's acknowledgement.
    std::size_t window_entries = 4096;
    /// Bytes of a snapshot in one message.
    std::size_t snapshot_chunk_bytes = 64UL * 1024;
    /// Applied entries kept in memory for followers that lag slightly.
    std::size_t trailing_entries = 1000;
    /// A learner within this many entries of the leader may be promoted.
    std::size_t promotion_lag_entries = 16;
    /// Whether the leader adds replicas that ask to join, removes a former
    /// incarnation of the same VM and promotes learners once caught up.
    bool automatic_repair = true;
    /// A voter unheard of for this long gives its place to a learner of
    /// another VM that caught up; 0 keeps it until it is removed by hand.
    /// Longer than a restart with recovery takes.
    duration lost_voter_timeout{};

    /// Returns how long a leader may answer reads after the start of a round
    /// that a quorum acknowledged. Shorter than the election timeout by what
    /// the clocks of leader and followers may differ.
    duration lease() const;
};

} // namespace limpet::consensus
