#include <limpet/placement/engine_limit.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::placement
{

namespace
{

constexpr double latency_ratio_smoothing = 0.05;
constexpr double min_latency_ratio = 0.25;
constexpr double max_latency_ratio = 4;

} // namespace

engine_limit::engine_limit(limit_settings settings,
                           std::uint32_t slots,
                           incarnation run)
    : m_settings(settings),
      m_slots(slots),
      m_incarnation(run),
      m_limit(std::min(settings.cold_limit, slots))
{
}

std::uint32_t engine_limit::limit() const noexcept
{
    const auto total_limit = static_cast<std::uint32_t>(m_limit);
    return total_limit > m_external_in_flight
               ? total_limit - m_external_in_flight
               : 0;
}

std::uint32_t engine_limit::max_unconfirmed() const noexcept
{
    return m_settings.max_unconfirmed;
}

bool engine_limit::is_on_time(token_count uncached, duration latency) const
{
    const double expected = to_seconds(expected_first_token(uncached));
    return to_seconds(latency) <= m_settings.on_time_factor * expected;
}

duration engine_limit::expected_first_token(token_count uncached) const
{
    const double prefill = static_cast<double>(uncached.get()) /
                           m_settings.prefill_tokens_per_second;
    const double nominal = to_seconds(m_settings.first_token_base) + prefill;
    return from_seconds(nominal * m_latency_ratio);
}

duration engine_limit::slow_after(token_count prompt) const
{
    return from_seconds(to_seconds(expected_first_token(prompt)) *
                        m_settings.cold_latency_factor);
}

void engine_limit::take_over(std::uint32_t limit)
{
    m_limit =
        std::clamp(limit, std::min(m_settings.cold_limit, m_slots), m_slots);
}

void engine_limit::on_first_token(token_count prompt,
                                  token_count uncached,
                                  duration latency)
{
    if (latency > slow_after(prompt))
    {
        on_cold();
        return;
    }
    const double expected = to_seconds(expected_first_token(uncached));
    const double ratio = m_latency_ratio * to_seconds(latency) / expected;
    const double clamped =
        std::clamp(ratio, min_latency_ratio, max_latency_ratio);
    m_latency_ratio += latency_ratio_smoothing * (clamped - m_latency_ratio);
}

std::uint32_t engine_limit::generation() const noexcept
{
    return m_generation;
}

void engine_limit::on_completed(token_count generated, std::uint32_t generation)
{
    if (generation != m_generation)
    {
        return;
    }
    const double increment =
        static_cast<double>(generated.get()) /
        static_cast<double>(m_settings.tokens_per_slot.get());
    m_limit = std::min(m_limit + increment, static_cast<double>(m_slots));
}

void engine_limit::on_failed()
{
    const double floor = std::min(m_settings.cold_limit, m_slots);
    m_limit = std::max(m_limit / 2, floor);
}

void engine_limit::on_report(const engine_report& report,
                             std::uint32_t own_peak_in_flight)
{
    if (report.run < m_incarnation)
    {
        return;
    }
    const double cold_threshold =
        m_settings.cold_cache_ratio * static_cast<double>(m_peak_cached_tokens);
    if (report.run > m_incarnation ||
        static_cast<double>(report.cached.get()) < cold_threshold)
    {
        m_incarnation = report.run;
        m_peak_cached_tokens = 0;
        on_cold();
    }
    m_peak_cached_tokens = std::max(m_peak_cached_tokens, report.cached.get());
    m_external_in_flight = report.in_flight > own_peak_in_flight
                               ? report.in_flight - own_peak_in_flight
                               : 0;
}

void engine_limit::on_cold()
{
    ++m_generation;
    m_limit = std::min({m_limit,
                        static_cast<double>(m_settings.cold_limit),
                        static_cast<double>(m_slots)});
}

} // namespace limpet::placement
