/// \file
/// Finds out whether a server lives on after it closed a connection.

#pragma once

#include "deadline.hpp"

#include <limpet/http/client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace limpet::http
{

enum class server_state
{
    alive,   ///< A connection to it lasts.
    gone,    ///< Nothing listens at its address.
    closing, ///< Connections to it end early.
    unknown, ///< Connections time out.
};

/// Connects to a server and sends nothing. A process that ends closes its
/// listening socket last, which resets the connections that wait there to be
/// accepted, so a connection must last. Only a refused one shows that the
/// server is gone: a server at its limit resets new connections, and so does a
/// proxy before one that is gone, which is as if the server had reset the
/// connection of its answer. Used on one executor.
class server_check
{
public:
    /// Ends when the time left has passed.
    server_check(const boost::asio::ip::tcp::endpoint& server,
                 const client_limits& limits,
                 duration time_left);

    boost::asio::awaitable<server_state> run();

    /// Lets run() return soon, with any result.
    void cancel();

private:
    boost::asio::awaitable<server_state> connect();
    /// Waits until the connection ends, or for as long as it has to last.
    boost::asio::awaitable<bool> lasts();

    boost::asio::ip::tcp::endpoint m_server;
    duration m_connect_timeout;
    duration m_end_time;
    time_point m_until;
    boost::asio::ip::tcp::socket* m_socket = nullptr;
    boost::asio::steady_timer* m_timer = nullptr;
    bool m_is_cancelled = false;
};

} // namespace limpet::http
