#include "room_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

net::awaitable<void> room_queue::wait(waiting_request who, duration longest)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(longest);
    const place mine = take_place(who);
    m_waiting[mine] = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    leave(mine);
}

room_queue::place room_queue::take_place(const waiting_request& who)
{
    turns& service = m_turns[who.service];
    double& next = service.next[who.tenant];
    const double turn = std::max(service.now, next);
    next = turn + who.cost;
    return {who.service, who.rank, turn, m_next++};
}

void room_queue::leave(const place& from)
{
    m_waiting.erase(from);
    const auto first = m_waiting.lower_bound({from.service, 0, 0, 0});
    if (first == m_waiting.end() || first->first.service != from.service)
    {
        m_turns.erase(from.service);
    }
}

void room_queue::wake(const std::string& service)
{
    const auto first = m_waiting.lower_bound({service, 0, 0, 0});
    if (first == m_waiting.end() || first->first.service != service)
    {
        return;
    }
    turns& known = m_turns[service];
    known.now = std::max(known.now, first->first.turn);
    first->second->cancel();
    m_waiting.erase(first);
}

void room_queue::wake_all()
{
    for (auto& [where, timer] : m_waiting)
    {
        timer->cancel();
    }
}

std::size_t room_queue::size(const std::string& service) const
{
    return static_cast<std::size_t>(
        std::count_if(m_waiting.begin(),
                      m_waiting.end(),
                      [&service](const auto& each)
                      {
                          return each.first.service == service;
                      }));
}

} // namespace limpet::gateway
