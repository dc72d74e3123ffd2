/// \file
/// Decides when departures of the replicated log take effect at a replica.

#pragma once

#include <limpet/directory/departures.hpp>

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace limpet::control
{

/// What a replica knows of its place in the group.
struct log_position
{
    bool is_voter = false;
    /// Log index up to which it knows the entries to be committed.
    std::uint64_t committed = 0;
};

/// Passes on the departures of backend servers that the replica's log holds.
///
/// They take effect when the entry is stored: servers have said them of
/// themselves, so an entry that is never committed does no harm, and its commit
/// may take an election. Departures that the group has forgotten are left out:
/// the log that a learner receives is full of them, so entries that are
/// committed when a learner receives them wait until it is a voter. Not
/// thread-safe.
class departure_intake
{
public:
    using departures = std::vector<directory::registration>;

    explicit departure_intake(std::function<log_position()> position);

    /// Handles the snapshot that the disk holds. Call before start().
    void restore(const directory::departure_table& snapshot);

    /// Handles an entry of any kind that the replica stores, or before start()
    /// has found on its disk. Returns the departures that take effect now.
    departures store(std::uint64_t index, std::string_view entry);

    /// Returns the departures that the disk held.
    departures start();

    /// Returns the departures that the replica has applied since the last call,
    /// none before it is a voter. Most have taken effect before. Call
    /// periodically.
    departures apply(const directory::departure_table& applied);

private:
    std::function<log_position()> m_position;
    bool m_is_started = false;
    /// What the disk held, until start().
    directory::departure_table m_found;
    /// Log index up to which applied departures were passed on.
    std::uint64_t m_applied_index = 0;
};

} // namespace limpet::control
