/// \file
/// Registry of benchmark suites.

#pragma once

#include "report.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace limpet::bench
{

/// What a suite is run with.
struct suite_options
{
    std::uint64_t seed = 1;
    /// Multiplies the amount of work of suites that scale, 1 in CI.
    std::uint64_t scale = 1;
};

/// A named set of measurements.
struct suite
{
    std::string name;
    /// Whether the figures depend on the seed alone, so that CI may judge
    /// them. Other suites report timings.
    bool deterministic = true;
    void (*run)(const suite_options& options, report& figures) = nullptr;
};

/// Adds a suite during static initialisation.
struct suite_registration
{
    explicit suite_registration(suite entry);
};

/// Returns all registered suites, ordered by name.
std::vector<suite> registered_suites();

} // namespace limpet::bench
