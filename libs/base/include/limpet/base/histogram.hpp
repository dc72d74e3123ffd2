/// \file
/// Histogram of durations for metrics.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace limpet
{

/// Counts durations in fixed buckets whose bounds grow by about a half, from
/// 0.1 ms to over 10 min. Not thread-safe.
class histogram
{
public:
    static constexpr std::size_t bucket_count = 40;

    /// Adds one duration. Negative durations count as zero.
    void add(duration value);

    /// Adds all of the other's durations.
    void merge(const histogram& other);

    /// Returns the number of durations added.
    std::uint64_t count() const;

    /// Returns the sum of the durations in seconds.
    double sum_seconds() const;

    /// Returns the longest duration in seconds, 0 if empty.
    double max_seconds() const;

    /// Returns the duration in seconds that the given part (0 to 1) of the
    /// durations does not exceed, interpolated within a bucket; 0 if empty.
    double quantile_seconds(double part) const;

    /// Returns the number of durations in the bucket.
    std::uint64_t bucket(std::size_t index) const;

    /// Returns the upper bound of the bucket in seconds. The last bucket has
    /// no upper bound and returns infinity.
    static double upper_bound_seconds(std::size_t index);

private:
    using moments = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max>>;

    std::array<std::uint64_t, bucket_count> m_buckets{};
    moments m_moments;
    std::uint64_t m_merged_count = 0;
    double m_merged_sum = 0;
    double m_merged_max = 0;
};

} // namespace limpet
