/// \file
/// Minimum over a sliding time window.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>
#include <deque>
#include <utility>

namespace limpet::placement
{

/// Minimum of a step function over a sliding time window. Not thread-safe.
class window_minimum
{
public:
    explicit window_minimum(duration window);

    /// Records that the value applies from `now` on. Times must not decrease.
    void record(std::uint64_t value, time_point now);

    /// Returns the minimum over the window that ends at `now`, or 0 if no value
    /// had been recorded by the start of the window.
    std::uint64_t lowest(time_point now);

private:
    void evict_expired(time_point now);

    duration m_window;
    /// Increasing values, each with the time from which it applied.
    std::deque<std::pair<time_point, std::uint64_t>> m_values;
    time_point m_first_recorded_at = time_point::max();
};

} // namespace limpet::placement
