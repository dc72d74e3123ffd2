/// \file
/// One run of a placement over a fleet under a workload and churn.

#pragma once

#include "direct_placement.hpp"
#include "fleet.hpp"
#include "routed_placement.hpp"
#include "workload.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace limpet::bench
{

/// What happens to the fleet during a run.
struct run_settings
{
    std::uint32_t engines = 20;
    std::uint32_t data_centres = 4;
    engine_model model;
    duration warm_up = seconds(200);
    duration length = seconds(600);
    /// End of the measurement; what runs on after it is not counted.
    time_point measure_until = time_point::max();
    /// Interval at which an engine joins or leaves in turn.
    std::optional<duration> churn;
    /// Interval at which one engine drops off the lists or returns.
    std::optional<duration> flap;
    /// Interval at which an engine turns cold without a word.
    std::optional<duration> colds;
    /// When data centre 0 goes out of service and returns.
    std::optional<time_point> out_at;
    std::optional<time_point> back_at;
    std::uint64_t seed = 1;
};

/// Placement under test.
using placement_choice = std::variant<direct_kind, routed_settings>;

/// Runs the workload and returns what was measured.
measurements run_placement(const run_settings& settings,
                           const placement_choice& choice,
                           const std::vector<turn>& workload);

} // namespace limpet::bench
