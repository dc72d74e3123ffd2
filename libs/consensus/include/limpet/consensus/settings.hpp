/// \file
/// Settings of the consensus protocol.

#pragma once

#include <limpet/base/units.hpp>

#include <cstddef>

namespace limpet::consensus
{

/// Times and sizes of the protocol. All replicas of a group must use the same
/// election_timeout and clock_drift, because leader leases depend on them.
struct settings
{
    /// Interval between a leader's heartbeats.
    duration heartbeat_interval = milliseconds(250);
    /// A replica that was contacted by a leader grants no vote for this long. A
    /// replica without contact to a leader starts an election after a random
    /// time of one to two times this long.
    duration election_timeout = milliseconds(1500);
    /// Replicas that all started at least this long ago and have had no leader
    /// since elect one without waiting for leases from before the start to
    /// expire. Twice the time that a probe of all voters and their answers may
    /// take.
    duration leaderless_window = milliseconds(150);
    /// Highest rate error of a clock, fast or slow, as a fraction: 0.01 is 1 %.
    double clock_drift = 0.01;
    /// Maximum bytes of entries in one message. A larger entry is sent in a
    /// message of its own.
    std::size_t append_bytes = 64UL * 1024;
    /// Maximum number of entries sent ahead of a follower's acknowledgement.
    std::size_t window_entries = 4096;
    /// Maximum bytes of a snapshot in one message.
    std::size_t snapshot_chunk_bytes = 64UL * 1024;
    /// Number of entries before a snapshot that stay in memory, for followers
    /// that lag slightly.
    std::size_t trailing_entries = 1000;
    /// A learner may be promoted if it is at most this many entries behind the
    /// leader.
    std::size_t promotion_lag_entries = 16;
    /// Whether the leader adds replicas that ask to join, removes an earlier
    /// incarnation of the same VM and promotes learners that have caught up.
    bool automatic_repair = true;
    /// The leader removes a voter that has not answered for this long, if a
    /// learner on another VM takes its place or at least min_voters remain. 0
    /// keeps the voter until an operator removes it. A replica that was removed
    /// and returns joins again.
    duration lost_voter_timeout{};
    /// Number of voters below which none is removed without a replacement.
    /// Twice the number of disks that may be lost at once, plus one.
    std::size_t min_voters = 3;

    /// Returns how long a leader may serve reads after it sent a message that a
    /// quorum has acknowledged. Shorter than the election timeout by the amount
    /// that the clocks of leader and followers may diverge in that time.
    duration lease() const;
};

} // namespace limpet::consensus
