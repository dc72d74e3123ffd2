#include "wait_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace net = boost::asio;

net::awaitable<void> wait_queue::wait(waiting_request request, duration timeout)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(timeout);
    const queue_key key = make_key(request);
    m_waiting[key] = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    remove(key);
}

wait_queue::queue_key wait_queue::make_key(const waiting_request& request)
{
    service_state& state = m_services[request.service];
    double& finish_tag = state.finish_tags[request.tenant];
    const double start_tag = std::max(state.virtual_time, finish_tag);
    finish_tag = start_tag + request.cost;
    return {request.service, request.rank, start_tag, m_next_sequence++};
}

void wait_queue::remove(const queue_key& key)
{
    m_waiting.erase(key);
    const auto first = m_waiting.lower_bound({key.service, 0, 0, 0});
    if (first == m_waiting.end() || first->first.service != key.service)
    {
        m_services.erase(key.service);
    }
}

void wait_queue::wake(const std::string& service)
{
    const auto first = m_waiting.lower_bound({service, 0, 0, 0});
    if (first == m_waiting.end() || first->first.service != service)
    {
        return;
    }
    service_state& state = m_services[service];
    state.virtual_time = std::max(state.virtual_time, first->first.start_tag);
    first->second->cancel();
    m_waiting.erase(first);
}

void wait_queue::wake_all()
{
    for (auto& [key, timer] : m_waiting)
    {
        timer->cancel();
    }
}

std::size_t wait_queue::size(const std::string& service) const
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
