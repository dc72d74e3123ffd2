#include <limpet/base/timer_service.hpp>

namespace limpet
{

timer_service::subscription timer_service::at(time_point when, callback call)
{
    return add(when, duration::zero(), std::move(call));
}

timer_service::subscription timer_service::after(duration delay, callback call)
{
    return add(m_now + delay, duration::zero(), std::move(call));
}

timer_service::subscription timer_service::every(duration period, callback call)
{
    return add(m_now + period, period, std::move(call));
}

void timer_service::cancel(subscription id)
{
    const auto found = m_times.find(id);
    if (found == m_times.end())
    {
        return;
    }
    m_queue.erase(slot(found->second, id));
    m_times.erase(found);
}

std::optional<time_point> timer_service::next() const
{
    if (m_queue.empty())
    {
        return std::nullopt;
    }
    return m_queue.begin()->first.first;
}

void timer_service::advance(time_point now)
{
    while (!m_queue.empty() && m_queue.begin()->first.first <= now)
    {
        auto node = m_queue.extract(m_queue.begin());
        const auto [when, id] = node.key();
        entry& due = node.mapped();
        m_now = when;
        const callback call = due.call;
        if (due.period > duration::zero())
        {
            due.when = when + due.period;
            node.key() = slot(due.when, id);
            m_times[id] = due.when;
            m_queue.insert(std::move(node));
        }
        else
        {
            m_times.erase(id);
        }
        call(when);
    }
    m_now = now;
}

timer_service::subscription
timer_service::add(time_point when, duration period, callback call)
{
    const subscription id = m_next_id++;
    m_queue.emplace(slot(when, id), entry{when, period, std::move(call)});
    m_times.emplace(id, when);
    return id;
}

} // namespace limpet
