/// \file
/// Place of a configuration in the history of its control group.

#pragma once

#include <limpet/base/ids.hpp>

#include <compare>
#include <cstdint>

namespace limpet::config
{

/// Identifies one state of the configuration. Two states of the same position
/// are equal.
struct position
{
    /// Random number of the control group that issued the configuration.
    std::uint64_t group = 0;
    /// Rises each time that the group is restored from a backup.
    std::uint64_t generation = 0;
    /// Rises by one with each change.
    revision number;
    /// Hash over all changes up to the revision.
    std::uint64_t digest = 0;

    friend bool operator==(const position&, const position&) = default;
};

/// How a received position relates to the one in force.
enum class position_order
{
    same,
    newer,    ///< A later state of the same history.
    older,    ///< An earlier state; never adopted.
    diverged, ///< Not of the same history; never adopted.
};

/// Compares a received position with the one in force. A new generation must
/// start above the revision in force, or it would revert accepted changes.
position_order compare(const position& received, const position& in_force);

} // namespace limpet::config
