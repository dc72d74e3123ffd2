/// \file
/// A server that answers with arbitrary bytes.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace limpet::gateway
{

/// How a server ends its connection.
enum class connection_end
{
    closed,
    reset,
    killed, ///< Closed by the system, the listening socket some time later.
};

inline std::string_view to_string(connection_end end)
{
    switch (end)
    {
    case connection_end::closed:
        return "closed";
    case connection_end::reset:
        return "reset";
    case connection_end::killed:
        return "killed";
    }
    return "unknown";
}

/// Time after which the listening socket of a killed server is closed.
constexpr std::chrono::milliseconds listening_time_after_kill{20};

/// Answers the head of each request with the same bytes and ends the
/// connection. Ignores the bodies of requests.
class raw_server
{
public:
    explicit raw_server(boost::asio::io_context& context)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_stall(context, boost::asio::steady_timer::time_point::max())
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    void set_answer(std::string bytes, connection_end end)
    {
        m_bytes = std::move(bytes);
        m_end = end;
    }

    /// Resets as many connections after the first answer.
    void reset_further_connections(int count)
    {
        m_further_resets = count;
    }

    /// Returns the number of requests that were answered.
    int answered() const
    {
        return m_answered;
    }

    /// Sends the bytes once and then the others without end, until the peer
    /// closes.
    void set_endless_answer(std::string bytes, std::string repeated)
    {
        m_bytes = std::move(bytes);
        m_repeated = std::move(repeated);
    }

    /// Sends the bytes once and keeps the connection open without sending more.
    void set_stalled_answer(std::string bytes)
    {
        m_bytes = std::move(bytes);
        m_stalls = true;
    }

    /// Returns the number of answers that have stalled.
    int stalled_answers() const
    {
        return m_stalled;
    }

    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    /// Returns the number of connections that have not ended.
    int open_connections() const
    {
        return m_open;
    }

    void close()
    {
        m_acceptor.close();
    }

private:
    boost::asio::awaitable<void> accept()
    {
        for (;;)
        {
            boost::system::error_code failure;
            auto socket =
                co_await m_acceptor.async_accept(boost::asio::redirect_error(
                    boost::asio::use_awaitable, failure));
            if (failure)
            {
                co_return;
            }
            if (m_further_resets > 0 && m_answered > 0)
            {
                --m_further_resets;
                socket.set_option(boost::asio::socket_base::linger(true, 0),
                                  failure);
                continue;
            }
            ++m_open;
            boost::asio::co_spawn(m_acceptor.get_executor(),
                                  answer(std::move(socket)),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> answer(boost::asio::ip::tcp::socket socket)
    {
        boost::system::error_code failure;
        std::string request;
        co_await boost::asio::async_read_until(
            socket,
            boost::asio::dynamic_buffer(request),
            "\r\n\r\n",
            boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (failure)
        {
            --m_open;
            co_return;
        }
        ++m_answered;
        const std::string repeated = m_repeated;
        const connection_end end = m_end;
        std::string bytes = m_bytes;
        do
        {
            co_await boost::asio::async_write(
                socket,
                boost::asio::buffer(bytes),
                boost::asio::redirect_error(boost::asio::use_awaitable,
                                            failure));
            bytes = repeated;
        } while (!repeated.empty() && !failure);
        if (m_stalls)
        {
            std::string().swap(bytes);
            ++m_stalled;
            co_await m_stall.async_wait(boost::asio::redirect_error(
                boost::asio::use_awaitable, failure));
        }
        if (end == connection_end::killed)
        {
            m_acceptor.cancel(failure);
        }
        if (end == connection_end::reset)
        {
            socket.set_option(boost::asio::socket_base::linger(true, 0),
                              failure);
        }
        socket.close(failure);
        --m_open;
        if (end == connection_end::killed)
        {
            boost::asio::steady_timer timer(m_acceptor.get_executor(),
                                            listening_time_after_kill);
            co_await timer.async_wait(boost::asio::redirect_error(
                boost::asio::use_awaitable, failure));
            m_acceptor.close(failure);
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_bytes;
    connection_end m_end = connection_end::closed;
    std::string m_repeated;
    int m_open = 0;
    int m_further_resets = 0;
    int m_answered = 0;
    bool m_stalls = false;
    int m_stalled = 0;
    boost::asio::steady_timer m_stall;
};

} // namespace limpet::gateway
