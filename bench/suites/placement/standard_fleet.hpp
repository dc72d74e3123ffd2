/// \file
/// Sizes and settings that the suites share.

#pragma once

#include "run.hpp"

#include <cstdint>

namespace limpet::bench
{

inline constexpr std::uint32_t today_engines = 20;
inline constexpr std::uint32_t region_engines = 1500;
inline constexpr std::uint32_t region_routers = 51;
inline constexpr double target_in_flight = 16;
inline constexpr double first_token_budget_seconds = 0.42;
inline constexpr double load_multiple = 1.25;

/// Mean time that a request is in flight in the standard traffic.
inline constexpr double service_seconds = 6.7;

/// Returns the traffic that keeps so many requests in flight on each engine.
inline workload_settings
standard_traffic(std::uint32_t engines, double in_flight, duration length)
{
    workload_settings settings;
    settings.requests_per_second = engines * in_flight / service_seconds;
    settings.length = length;
    return settings;
}

/// Returns a run of today's size without faults.
inline run_settings standard_run(std::uint64_t seed, duration length)
{
    run_settings settings;
    settings.engines = today_engines;
    settings.seed = seed;
    settings.length = length;
    return settings;
}

/// Adds an engine that joins or leaves each minute and one that flaps.
inline void add_churn(run_settings& settings)
{
    settings.churn = seconds(60);
    settings.flap = seconds(45);
}

/// Returns the routers as they run by default, before engines that export and
/// import their caches.
inline routed_settings standard_routers()
{
    routed_settings settings;
    settings.dispatch.import_tokens_per_second =
        engine_model{}.import_tokens_per_second;
    return settings;
}

} // namespace limpet::bench
