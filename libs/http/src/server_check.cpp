#include "server_check.hpp"

#include "transfer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>

namespace limpet::http
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace

server_check::server_check(const boost::asio::ip::tcp::endpoint& server,
                           const client_limits& limits,
                           duration time_left)
    : m_server(server),
      m_connect_timeout(limits.connect_timeout),
      m_end_time(limits.server_end_time),
      m_until(monotonic_clock::now() + time_left)
{
}

boost::asio::awaitable<server_state> server_check::run()
{
    // One may be lost, since a packet is sent again only after the connect
    // timeout, and one may be reset.
    constexpr int max_connects = 3;
    server_state result = server_state::unknown;
    for (int i = 0; i < max_connects && !m_is_cancelled; ++i)
    {
        if (monotonic_clock::now() >= m_until)
        {
            break;
        }
        boost::asio::ip::tcp::socket socket(
            co_await boost::asio::this_coro::executor);
        m_socket = &socket;
        const server_state state = co_await connect();
        const bool is_alive = state == server_state::alive && co_await lasts();
        m_socket = nullptr;
        if (is_alive || state == server_state::gone)
        {
            co_return state;
        }
        result =
            state == server_state::alive && monotonic_clock::now() < m_until
                ? server_state::closing
                : server_state::unknown;
    }
    co_return result;
}

void server_check::cancel()
{
    m_is_cancelled = true;
    if (m_socket != nullptr)
    {
        boost::system::error_code ignored;
        m_socket->close(ignored);
    }
    if (m_timer != nullptr)
    {
        m_timer->cancel();
    }
}

boost::asio::awaitable<server_state> server_check::connect()
{
    const auto limit = std::make_shared<deadline>(
        co_await boost::asio::this_coro::executor, *m_socket);
    limit->expires_after(
        std::min(m_connect_timeout, m_until - monotonic_clock::now()));
    const auto [failure] =
        co_await m_socket->async_connect(m_server, as_result);
    const bool is_late = limit->passed();
    limit->detach();
    if (failure == boost::asio::error::connection_refused)
    {
        co_return server_state::gone;
    }
    if (failure || is_late)
    {
        co_return server_state::unknown;
    }
    prepare(*m_socket);
    co_return server_state::alive;
}

boost::asio::awaitable<bool> server_check::lasts()
{
    // The handler of the socket may outlive this function.
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        co_await boost::asio::this_coro::executor);
    const time_point lasts_at = monotonic_clock::now() + m_end_time;
    timer->expires_after(std::min(lasts_at, m_until) - monotonic_clock::now());
    m_socket->async_wait(boost::asio::ip::tcp::socket::wait_read,
                         [timer](const boost::system::error_code& /*failure*/)
                         {
                             timer->cancel();
                         });
    m_timer = timer.get();
    co_await timer->async_wait(as_result);
    m_timer = nullptr;
    co_return !m_is_cancelled && monotonic_clock::now() >= lasts_at &&
        peek(*m_socket) == peek_result::nothing;
}

} // namespace limpet::http
