/// \file
/// Lowest value within a sliding window of time.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>
#include <deque>
#include <utility>

namespace limpet::placement
{

/// Lowest value within a sliding window. Not thread-safe.
class window_minimum
{
public:
    explicit window_minimum(duration window);

    /// Records that the value holds from now on. Times must not fall.
    void record(std::uint64_t value, time_point now);

    /// Returns the lowest value held at any time within the window before
    /// now, 0 if none was recorded before the window's start.
    std::uint64_t lowest(time_point now);

private:
    void drop_old(time_point now);

    duration m_window;
    /// Values that rise, each with the time from which it held.
    std::deque<std::pair<time_point, std::uint64_t>> m_values;
    time_point m_started = time_point::max();
};

} // namespace limpet::placement
