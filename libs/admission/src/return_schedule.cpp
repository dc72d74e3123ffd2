#include <limpet/admission/return_schedule.hpp>

#include <algorithm>

namespace limpet::admission
{

duration return_schedule::next(double rate, duration earliest, time_point now)
{
    if (rate <= 0)
    {
        return max_delay;
    }
    const duration interval =
        std::min(from_seconds(1 / rate), duration(max_delay));
    m_last = std::clamp(m_last + interval,
                        now + earliest,
                        std::max(now + earliest, now + max_delay));
    return std::min(m_last - now, duration(max_delay));
}

} // namespace limpet::admission
