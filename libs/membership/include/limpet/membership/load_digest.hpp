/// \file
/// Sums of load for one model.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::membership
{

/// What an owner reports of one of its engines.
struct engine_load
{
    /// Requests running on the engine.
    std::uint32_t in_flight = 0;
    /// The engine's adaptive limit, passed on at hand-over.
    std::uint32_t limit = 0;
    /// Whether the engine takes part in balancing (not drained or failing).
    bool eligible = true;
};

/// Load of one model over a region.
struct load_digest
{
    std::uint64_t in_flight = 0;
    std::uint32_t engines = 0;
    std::uint32_t eligible = 0;
    /// Time since the sums were received; what they count is older by at most
    /// one digest period.
    duration age{};

    /// Returns the mean in flight of the eligible engines, 0 without any.
    double mean() const noexcept
    {
        return eligible == 0 ? 0.0 : static_cast<double>(in_flight) / eligible;
    }
};

} // namespace limpet::membership
