/// \file
/// Requests of many returning chats, equal for all placements under test.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <vector>

namespace limpet::bench
{

/// One turn of a chat.
struct turn
{
    time_point at;
    std::uint64_t chat = 0;
    std::uint32_t partner = 0;
    std::uint32_t team = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    bool returning = false;
};

/// Shape of the traffic of one partner.
struct workload_settings
{
    double requests_per_second = 10;
    duration length = seconds(600);
    std::uint32_t partner = 0;
    std::uint32_t teams = 10;
    double mean_turns = 8;
    duration mean_pause = seconds(60);
    /// Part of the pauses that last ten times as long.
    double long_pauses = 0.05;
    double mean_output_tokens = 232;
    /// Load of the first three teams is multiplied between these times.
    double surge = 1;
    time_point surge_from{};
    time_point surge_until{};
    /// Makes chats of several workloads differ.
    std::uint64_t first_chat = 0;
};

/// Time between two generated tokens.
inline constexpr duration token_interval = milliseconds(28);

/// Returns the turns in the order of their times. They are spread as in a
/// running system from the start on.
std::vector<turn> make_workload(const workload_settings& settings,
                                random_source& random);

/// Returns the turns of both in the order of their times.
std::vector<turn> merge_workloads(const std::vector<turn>& first,
                                  const std::vector<turn>& second);

} // namespace limpet::bench
