#include <limpet/base/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpet
{

namespace
{

constexpr double first_bound_seconds = 0.0001;
constexpr double bound_ratio = 1.5;

const std::array<double, histogram::bucket_count>& bounds()
{
    static const auto table = []
    {
        std::array<double, histogram::bucket_count> built{};
        double bound = first_bound_seconds;
        for (double& entry : built)
        {
            entry = bound;
            bound *= bound_ratio;
        }
        built.back() = std::numeric_limits<double>::infinity();
        return built;
    }();
    return table;
}

} // namespace

void histogram::add(duration value)
{
    const double length = std::max(0.0, to_seconds(value));
    const auto& table = bounds();
    const auto found = std::lower_bound(table.begin(), table.end(), length);
    ++m_buckets[static_cast<std::size_t>(found - table.begin())];
    m_moments(length);
}

void histogram::merge(const histogram& other)
{
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        m_buckets[i] += other.m_buckets[i];
    }
    m_merged_count += other.count();
    m_merged_sum += other.sum_seconds();
    m_merged_max = std::max(m_merged_max, other.max_seconds());
}

std::uint64_t histogram::count() const
{
    return boost::accumulators::count(m_moments) + m_merged_count;
}

double histogram::sum_seconds() const
{
    return boost::accumulators::sum(m_moments) + m_merged_sum;
}

double histogram::max_seconds() const
{
    if (boost::accumulators::count(m_moments) == 0)
    {
        return m_merged_max;
    }
    return std::max(boost::accumulators::max(m_moments), m_merged_max);
}

double histogram::quantile_seconds(double part) const
{
    const std::uint64_t total = count();
    if (total == 0)
    {
        return 0;
    }
    const double target = part * static_cast<double>(total);
    double below = 0;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        const double inside = static_cast<double>(m_buckets[i]);
        if (inside > 0 && below + inside >= target)
        {
            const double low = i == 0 ? 0 : bounds()[i - 1];
            const double high = std::min(bounds()[i], max_seconds());
            const double share = (target - below) / inside;
            return low + std::max(0.0, high - low) * share;
        }
        below += inside;
    }
    return max_seconds();
}

std::uint64_t histogram::bucket(std::size_t index) const
{
    return m_buckets[index];
}

double histogram::upper_bound_seconds(std::size_t index)
{
    return bounds()[index];
}

} // namespace limpet
