/// \file
/// Position of a configuration in the history of its control group.

#pragma once

#include <limpet/base/ids.hpp>

#include <compare>
#include <cstdint>

namespace limpet::config
{

/// Identifies one state of the configuration. Two states with the same position
/// are equal.
struct position
{
    /// Random identifier of the control group that issued the configuration.
    std::uint64_t group = 0;
    /// Incremented each time that the group is restored from a backup.
    std::uint64_t generation = 0;
    /// Incremented by one with each change.
    revision number;
    /// Hash of all changes up to the revision.
    std::uint64_t digest = 0;

    friend bool operator==(const position&, const position&) = default;
};

/// Relation of a received position to the position in force.
enum class position_order
{
    same,
    newer,    ///< A later state of the same history.
    older,    ///< An earlier state; never adopted.
    diverged, ///< A state of a different history; never adopted.
};

/// Compares a received position with the position in force. A new generation
/// counts as newer only if its revision is above the revision in force;
/// otherwise adopting it would revert accepted changes.
position_order compare(const position& received, const position& in_force);

} // namespace limpet::config
