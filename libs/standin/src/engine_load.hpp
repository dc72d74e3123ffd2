/// \file
/// How much a fake engine bears and how overload slows it.

#pragma once

#include <limpet/standin/settings.hpp>

#include <cstdint>

namespace limpet::standin
{

/// Counts requests in progress against what the engine bears, which grows
/// with completed work. Time is an argument. Not thread-safe.
class engine_load
{
public:
    engine_load(std::uint32_t slots, const cold_start& start);

    /// Begins a request unless the engine is down or this one makes it fall
    /// over.
    bool begin(time_point now);

    /// Ends a request that begin accepted.
    void end(bool complete);

    /// Makes the engine as cold as after a start.
    void go_cold();

    /// Returns the number of requests that it bears at once.
    std::uint32_t bearable() const;

    /// Returns by how much answers take longer than without overload.
    double slowdown() const;

    std::uint32_t in_flight() const noexcept
    {
        return m_in_flight;
    }

    /// Number of falls, so that requests in progress notice one.
    std::uint64_t falls() const noexcept
    {
        return m_falls;
    }

private:
    bool falls_over() const;

    std::uint32_t m_slots;
    cold_start m_start;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_falls = 0;
    time_point m_down_until = time_point::min();
};

} // namespace limpet::standin
