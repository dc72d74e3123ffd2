/// \file
/// Load of engines and models.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::membership
{

/// Load of one engine, as its owner reports it.
struct engine_load
{
    /// Requests running on the engine.
    std::uint32_t in_flight = 0;
    /// The engine's adaptive limit in requests, which a hand-over transfers.
    std::uint32_t limit = 0;
    /// Whether the engine takes part in load balancing (neither draining nor
    /// failing).
    bool eligible = true;
};

/// Load of one model, summed over a region.
struct load_digest
{
    std::uint64_t in_flight = 0;
    std::uint32_t engines = 0;
    std::uint32_t eligible = 0;
    /// Time since the sums were received. The counted values are older than
    /// that by at most one digest period.
    duration age{};

    /// Returns the mean number of requests in flight per eligible engine, or 0
    /// if there is none.
    double mean() const noexcept
    {
        return eligible == 0 ? 0.0 : static_cast<double>(in_flight) / eligible;
    }
};

} // namespace limpet::membership
