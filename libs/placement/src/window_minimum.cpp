#include <limpet/placement/window_minimum.hpp>

#include <algorithm>

namespace limpet::placement
{

window_minimum::window_minimum(duration window)
    : m_window(window)
{
}

void window_minimum::record(std::uint64_t value, time_point now)
{
    if (m_first_recorded_at == time_point::max())
    {
        m_first_recorded_at = now;
    }
    while (!m_values.empty() && m_values.back().second >= value)
    {
        now = std::min(now, m_values.back().first);
        m_values.pop_back();
    }
    m_values.emplace_back(now, value);
}

std::uint64_t window_minimum::lowest(time_point now)
{
    evict_expired(now);
    if (m_values.empty() || m_first_recorded_at > now - m_window)
    {
        return 0;
    }
    return m_values.front().second;
}

void window_minimum::evict_expired(time_point now)
{
    // A value applies until the time of the next one.
    while (m_values.size() > 1 && m_values[1].first <= now - m_window)
    {
        m_values.pop_front();
    }
}

} // namespace limpet::placement
