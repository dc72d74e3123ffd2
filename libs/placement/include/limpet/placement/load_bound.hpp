/// \file
/// Bound of an engine's load relative to the mean of its model.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
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

/// Parameters of the load bound.
struct load_bound_settings
{
    /// Highest load of an engine as a multiple of the mean.
    double multiple = 1.25;
    /// Age up to which a digest stands for the present load.
    duration lag = seconds(1);
    /// Time in which an older digest's load falls to 1/e, as requests finish
    /// without new ones.
    duration fall_time = seconds(4);
    /// How long an engine that vanished from the list still counts, because
    /// lists disagree for seconds.
    duration list_hold = seconds(6);
};

/// Load of one router's engines of a model.
struct load_digest
{
    /// The lowest number in flight within load_window before taken_at.
    std::uint64_t in_flight = 0;
    time_point taken_at;
};

/// Window of the minimum that a digest carries. Longer than the interval of
/// digests and their delay together, so that the windows of all current
/// digests share an instant: the sum of the minimums is then at most the true
/// sum at that instant.
inline constexpr duration load_window = milliseconds(500);

/// Interval at which a router sends its digests.
inline constexpr duration load_digest_interval = milliseconds(250);

/// Bound of one model's engines, kept by each router that owns some of them.
/// It never exceeds the set multiple of the true mean within the digests' lag.
/// Not thread-safe.
class load_bound
{
public:
    explicit load_bound(load_bound_settings settings);

    /// Sets the number of engines in service of the model.
    void set_engines(std::size_t count, time_point now);

    /// Takes the source's digest unless a later one is known. The source is a
    /// router, or a data centre whose sum arrives as one.
    void report(const vm_id& source, load_digest digest);

    /// Forgets a source that left.
    void forget(const vm_id& source);

    /// Returns a lower bound of the true mean in flight.
    double mean(time_point now) const;

    /// Returns the most requests that an engine may have in flight, at least
    /// 1.
    std::uint32_t bound(time_point now) const;

private:
    double count(time_point now) const;

    load_bound_settings m_settings;
    std::unordered_map<vm_id, load_digest> m_digests;
    /// Numbers of engines, falling, each with the time until which it counts.
    std::deque<std::pair<std::size_t, time_point>> m_former;
    std::size_t m_engines = 0;
};

} // namespace limpet::placement
