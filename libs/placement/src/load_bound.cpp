#include <limpet/placement/load_bound.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::placement
{

window_minimum::window_minimum(duration window)
    : m_window(window)
{
}

void window_minimum::record(std::uint64_t value, time_point now)
{
    if (m_started == time_point::max())
    {
        m_started = now;
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
    drop_old(now);
    if (m_values.empty() || m_started > now - m_window)
    {
        return 0;
    }
    return m_values.front().second;
}

void window_minimum::drop_old(time_point now)
{
    // A value held until the next one was recorded.
    while (m_values.size() > 1 && m_values[1].first <= now - m_window)
    {
        m_values.pop_front();
    }
}

load_bound::load_bound(load_bound_settings settings)
    : m_settings(settings)
{
}

void load_bound::set_engines(std::size_t count, time_point now)
{
    while (!m_former.empty() && m_former.back().first <= m_engines)
    {
        m_former.pop_back();
    }
    if (count < m_engines)
    {
        m_former.emplace_back(m_engines, now + m_settings.list_hold);
    }
    while (!m_former.empty() && m_former.front().second <= now)
    {
        m_former.pop_front();
    }
    m_engines = count;
}

void load_bound::report(const vm_id& source, load_digest digest)
{
    load_digest& known = m_digests[source];
    if (digest.taken_at >= known.taken_at)
    {
        known = digest;
    }
}

void load_bound::forget(const vm_id& source)
{
    m_digests.erase(source);
}

double load_bound::count(time_point now) const
{
    std::size_t highest = m_engines;
    for (const auto& [engines, until] : m_former)
    {
        if (until > now)
        {
            highest = std::max(highest, engines);
        }
    }
    return static_cast<double>(highest);
}

double load_bound::mean(time_point now) const
{
    double sum = 0;
    for (const auto& [source, digest] : m_digests)
    {
        const duration over = now - digest.taken_at - m_settings.lag;
        const double fall = over <= duration::zero()
                                ? 1
                                : std::exp(-to_seconds(over) /
                                           to_seconds(m_settings.fall_time));
        sum += fall * static_cast<double>(digest.in_flight);
    }
    const double engines = count(now);
    return engines > 0 ? sum / engines : 0;
}

std::uint32_t load_bound::bound(time_point now) const
{
    const double highest = std::ceil(m_settings.multiple * mean(now) - 1e-9);
    return static_cast<std::uint32_t>(std::max(1.0, highest));
}

} // namespace limpet::placement
