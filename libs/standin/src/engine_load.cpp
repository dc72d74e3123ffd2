#include "engine_load.hpp"

#include <algorithm>

namespace limpet::standin
{

engine_load::engine_load(std::uint32_t slots, const cold_start& start)
    : m_slots(slots),
      m_start(start)
{
}

bool engine_load::begin(time_point now)
{
    if (now < m_down_until)
    {
        return false;
    }
    if (would_crash())
    {
        ++m_crash_count;
        m_down_until = now + m_start.down_time;
        reset_to_cold();
        return false;
    }
    ++m_in_flight;
    return true;
}

void engine_load::end(bool complete)
{
    --m_in_flight;
    m_completed += complete ? 1 : 0;
}

void engine_load::reset_to_cold()
{
    m_completed = 0;
}

std::uint32_t engine_load::concurrency_limit() const
{
    if (m_start.slots == 0)
    {
        return m_slots;
    }
    const std::uint64_t grown =
        m_start.slots + m_completed / m_start.requests_per_slot;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(grown, m_slots));
}

double engine_load::slowdown() const
{
    return std::max(1.0,
                    static_cast<double>(m_in_flight) / concurrency_limit());
}

bool engine_load::would_crash() const
{
    return m_start.falls_over_at > 0 &&
           m_in_flight + 1 > m_start.falls_over_at * concurrency_limit();
}

} // namespace limpet::standin
