/// \file
/// Concurrency limit, slowdown and overload crashes of a fake engine.

#pragma once

#include <limpet/standin/settings.hpp>

#include <cstdint>

namespace limpet::standin
{

/// Tracks the requests in progress against the engine's concurrency limit,
/// which rises as a cold engine completes requests. The caller passes the
/// current time. Not thread-safe.
class engine_load
{
public:
    engine_load(std::uint32_t slots, const cold_start& start);

    /// Begins a request. Returns false if the engine is down or if this
    /// request overloads it so that it crashes.
    bool begin(time_point now);

    /// Ends a request that begin accepted.
    void end(bool complete);

    /// Resets the engine to its state after a cold start.
    void reset_to_cold();

    /// Returns the number of concurrent requests that do not slow the engine.
    std::uint32_t concurrency_limit() const;

    /// Returns the factor, at least 1, by which overload slows answers.
    double slowdown() const;

    std::uint32_t in_flight() const noexcept
    {
        return m_in_flight;
    }

    /// Returns the number of crashes. A request in progress compares it with
    /// the number at its start to detect a crash.
    std::uint64_t crash_count() const noexcept
    {
        return m_crash_count;
    }

private:
    bool would_crash() const;

    std::uint32_t m_slots;
    cold_start m_start;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_crash_count = 0;
    time_point m_down_until = time_point::min();
};

} // namespace limpet::standin
