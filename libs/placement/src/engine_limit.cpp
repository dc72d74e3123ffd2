#include <limpet/placement/engine_limit.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::placement
{

namespace
{

constexpr double pace_smoothing = 0.05;
constexpr double lowest_pace = 0.25;
constexpr double highest_pace = 4;

} // namespace

engine_limit::engine_limit(limit_settings settings,
                           std::uint32_t slots,
                           incarnation run)
    : m_settings(settings),
      m_slots(slots),
      m_run(run),
      m_limit(std::min(settings.cold_limit, slots))
{
}

std::uint32_t engine_limit::limit() const noexcept
{
    const auto whole = static_cast<std::uint32_t>(m_limit);
    return whole > m_foreign ? whole - m_foreign : 0;
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
    return from_seconds(nominal * m_pace);
}

duration engine_limit::slow_after(token_count prompt) const
{
    return from_seconds(to_seconds(expected_first_token(prompt)) *
                        m_settings.slow_factor);
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
    const double pace = m_pace * to_seconds(latency) / expected;
    const double bounded = std::clamp(pace, lowest_pace, highest_pace);
    m_pace += pace_smoothing * (bounded - m_pace);
}

std::uint32_t engine_limit::generation() const noexcept
{
    return m_generation;
}

void engine_limit::on_completed(token_count work, std::uint32_t generation)
{
    if (generation != m_generation)
    {
        return;
    }
    const double gained = static_cast<double>(work.get()) /
                          static_cast<double>(m_settings.tokens_per_slot.get());
    m_limit = std::min(m_limit + gained, static_cast<double>(m_slots));
}

void engine_limit::on_failed()
{
    const double floor = std::min(m_settings.cold_limit, m_slots);
    m_limit = std::max(m_limit / 2, floor);
}

void engine_limit::on_report(const engine_report& report,
                             std::uint32_t highest_own)
{
    if (report.run < m_run)
    {
        return;
    }
    const double kept =
        m_settings.shrunken_cache * static_cast<double>(m_highest_cached);
    if (report.run > m_run || static_cast<double>(report.cached.get()) < kept)
    {
        m_run = report.run;
        m_highest_cached = 0;
        on_cold();
    }
    m_highest_cached = std::max(m_highest_cached, report.cached.get());
    m_foreign =
        report.in_flight > highest_own ? report.in_flight - highest_own : 0;
}

void engine_limit::on_cold()
{
    ++m_generation;
    m_limit = std::min({m_limit,
                        static_cast<double>(m_settings.cold_limit),
                        static_cast<double>(m_slots)});
}

} // namespace limpet::placement
