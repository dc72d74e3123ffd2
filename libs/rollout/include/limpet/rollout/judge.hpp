/// \file
/// Sequential test of a rollout's target against the versions before it.

#pragma once

#include <limpet/rollout/evidence.hpp>

#include <optional>
#include <string_view>

namespace limpet::rollout
{

/// Result of the test.
enum class verdict
{
    undecided,
    good,
    bad,
};

std::string_view to_string(verdict value) noexcept;

/// The verdict with the figures that decided it.
struct judgement
{
    verdict result = verdict::undecided;
    /// Route with the highest likelihood ratio for a bad target; nothing if all
    /// routes together decided.
    std::optional<route_key> route;
    /// Natural logarithm of the likelihood ratio of a bad target to a good one.
    double log_ratio = 0;
    /// Rates of bad answers that the test compares.
    double expected_rate = 0;
    double bad_rate = 0;
    outcome_counts target;
    outcome_counts others;
};

/// Judges the target by a sequential probability ratio test, for each route and
/// for all routes together, which may be repeated at any time. A good target is
/// found bad in at most one of 1,000 tests.
judgement judge(const evidence& observed);

} // namespace limpet::rollout
