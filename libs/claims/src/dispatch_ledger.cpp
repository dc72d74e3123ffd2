#include <limpet/claims/dispatch_ledger.hpp>

namespace limpet::claims
{

std::string_view to_string(request_state state) noexcept
{
    switch (state)
    {
    case request_state::not_run:
        return "not_run";
    case request_state::running:
        return "running";
    case request_state::finished:
        return "finished";
    case request_state::other_incarnation:
        return "other_incarnation";
    case request_state::no_promise:
        return "no_promise";
    }
    return "";
}

dispatch_ledger::dispatch_ledger(incarnation own, const ledger_limits& limits)
    : m_own(own),
      m_limits(limits)
{
}

arrival dispatch_ledger::arrive(const request_id& request, time_point now)
{
    expire(now);
    const auto known = m_requests.find(request);
    if (known != m_requests.end())
    {
        return known->second == phase::refused ? arrival::refused
                                               : arrival::duplicate;
    }
    if (is_full())
    {
        return arrival::full;
    }
    m_requests.emplace(request, phase::running);
    return arrival::run;
}

void dispatch_ledger::finish(const request_id& request, time_point now)
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end() || known->second != phase::running)
    {
        return;
    }
    known->second = phase::finished;
    m_expiries.push_back({now + m_limits.retention, request});
}

request_state dispatch_ledger::query(const request_id& request,
                                     incarnation sent_to,
                                     time_point now)
{
    expire(now);
    if (sent_to != m_own)
    {
        return request_state::other_incarnation;
    }
    const auto known = m_requests.find(request);
    if (known == m_requests.end())
    {
        if (is_full())
        {
            return request_state::no_promise;
        }
        m_requests.emplace(request, phase::refused);
        m_expiries.push_back({now + m_limits.retention, request});
        return request_state::not_run;
    }
    switch (known->second)
    {
    case phase::running:
        return request_state::running;
    case phase::finished:
        return request_state::finished;
    case phase::refused:
        break;
    }
    return request_state::not_run;
}

void dispatch_ledger::expire(time_point now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now)
    {
        m_requests.erase(m_expiries.front().request);
        m_expiries.pop_front();
    }
}

bool dispatch_ledger::is_full() const noexcept
{
    return m_requests.size() >= m_limits.capacity;
}

} // namespace limpet::claims
