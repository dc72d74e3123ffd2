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

/// Passes on the departures of backend servers that the replica's log holds.
///
/// They take effect when the entry is stored: servers have said them of
/// themselves, so an entry that is never committed does no harm, and its commit
/// may take an election. Departures that the group has forgotten are left out.
/// Not thread-safe.
class departure_intake
{
public:
    using departures = std::vector<directory::registration>;

    /// `is_voter` returns whether this replica votes. The log that a learner
    /// receives has departures that were forgotten long ago.
    explicit departure_intake(std::function<bool()> is_voter);

    /// Handles the snapshot that the disk holds. Call before start().
    void restore(const directory::departure_table& snapshot);

    /// Handles an entry of any kind that the replica has stored, or before
    /// start() has found on its disk. Returns the departures that take effect
    /// now.
    departures store(std::uint64_t index, std::string_view entry);

    /// Returns the departures that the disk held.
    departures start();

    /// Returns the departures that the replica has applied since the last call.
    /// A voter has stored them before; one that was a learner has not. Call
    /// periodically.
    departures apply(const directory::departure_table& applied);

private:
    std::function<bool()> m_is_voter;
    bool m_is_started = false;
    /// What the disk held, until start().
    directory::departure_table m_found;
    /// Log index up to which applied departures were passed on.
    std::uint64_t m_applied_index = 0;
};

} // namespace limpet::control
