#include "room_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

net::awaitable<void>
room_queue::wait(std::string service, unsigned rank, duration longest)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(longest);
    const place mine{std::move(service), rank, m_next++};
    m_waiting[mine] = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    m_waiting.erase(mine);
}

void room_queue::wake(const std::string& service)
{
    const auto first = m_waiting.lower_bound({service, 0, 0});
    if (first != m_waiting.end() && first->first.service == service)
    {
        first->second->cancel();
        m_waiting.erase(first);
    }
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
