/// \file
/// Seeded random numbers that are equal on every machine.

#pragma once

#include <cstdint>
#include <random>

namespace limpet
{

/// Source of random numbers. The distributions of the standard library differ
/// between implementations, so the draws are made here. Not thread-safe.
class random_source
{
public:
    explicit random_source(std::uint64_t seed);

    /// Returns the next 64 random bits.
    std::uint64_t next();

    /// Returns a number in [0, bound). The bound must not be 0.
    std::uint64_t below(std::uint64_t bound);

    /// Returns a number in [0, 1).
    double uniform();

    /// Returns a number of an exponential distribution with the given mean.
    double exponential(double mean);

    /// Returns true with the given probability.
    bool chance(double probability);

private:
    std::mt19937_64 m_engine;
};

} // namespace limpet
