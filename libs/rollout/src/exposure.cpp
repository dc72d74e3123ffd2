#include <limpet/rollout/exposure.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpet::rollout
{

namespace
{

/// Fraction of the allowed share that is used. The rest covers requests that
/// are sent to the target as another request's second attempt.
constexpr double used_fraction = 0.8;
/// Requests to the target that a router may save up while the target has no
/// capacity. More would reach it in one burst.
constexpr double max_tokens = 4;
/// Time in which all requests move to the target, so that its servers' caches
/// fill before they get the full load.
constexpr duration ramp_time = seconds(1);
/// Time after which no request goes to the other versions for lack of capacity
/// at the target. Their requests have to end before the rollout's deadline.
constexpr duration overflow_time = seconds(2);

} // namespace

exposure_budget::exposure_budget(double share)
    : m_max_share(share)
{
}

void exposure_budget::update(const record& state, time_point now)
{
    if (state.id != m_state.id)
    {
        m_tokens = 0;
    }
    if (state.id != m_state.id || state.current != m_state.current)
    {
        m_phase_learnt_at = now;
    }
    m_state = state;
}

double exposure_budget::share(time_point now) const
{
    const double observing_share = used_fraction * m_max_share;
    switch (m_state.current)
    {
    case phase::observing:
        return observing_share;
    case phase::switching:
        return std::clamp(to_seconds(now - m_phase_learnt_at) /
                              to_seconds(ramp_time),
                          observing_share,
                          1.0);
    case phase::completed:
        return 1;
    case phase::rolled_back:
        break;
    }
    return 0;
}

side_choice exposure_budget::choose(std::uint64_t draw,
                                    bool is_in_touch,
                                    time_point now) const
{
    if (m_state.current == phase::completed)
    {
        return {true, true};
    }
    if (m_state.current == phase::rolled_back || !is_in_touch)
    {
        return {false, true};
    }
    if (m_state.current == phase::observing)
    {
        return {m_tokens >= 1, true};
    }
    const double position =
        static_cast<double>(draw) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return {position <= share(now), now < m_phase_learnt_at + overflow_time};
}

bool exposure_budget::may_use_target() const
{
    switch (m_state.current)
    {
    case phase::observing:
        return m_tokens >= 1;
    case phase::switching:
    case phase::completed:
        return true;
    case phase::rolled_back:
        break;
    }
    return false;
}

void exposure_budget::on_sent(bool to_target, time_point now)
{
    m_tokens = std::min(max_tokens, m_tokens + share(now));
    if (to_target)
    {
        m_tokens -= 1;
    }
}

std::size_t exposure_budget::target_servers(std::size_t ready,
                                            time_point now) const
{
    // Without the margin, a product such as 0.08 * 100 may be rounded up by 1.
    constexpr double margin = 1e-6;
    const double used =
        std::ceil(share(now) * static_cast<double>(ready) - margin);
    return std::clamp<std::size_t>(
        static_cast<std::size_t>(used), std::min<std::size_t>(1, ready), ready);
}

} // namespace limpet::rollout
