/// \file
/// Events of a benchmark in the order of their simulated time.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace limpet::bench
{

/// Runs events by time, then in the order in which they were added.
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const noexcept
    {
        return m_now;
    }

    void at(time_point when, action act)
    {
        m_events.push({std::max(when, m_now), m_count++, std::move(act)});
    }

    void after(duration delay, action act)
    {
        at(m_now + delay, std::move(act));
    }

    /// Runs all events up to the time.
    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end)
        {
            event next = std::move(const_cast<event&>(m_events.top()));
            m_events.pop();
            m_now = next.when;
            next.act();
        }
        m_now = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number = 0;
        action act;

        bool operator<(const event& other) const noexcept
        {
            return when != other.when ? when > other.when
                                      : number > other.number;
        }
    };

    time_point m_now{};
    std::uint64_t m_count = 0;
    std::priority_queue<event> m_events;
};

} // namespace limpet::bench
