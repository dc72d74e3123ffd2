/// \file
/// Connections to a peer whose machine falls silent.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

namespace limpet::http
{

/// Lets the system drop all that arrives at the socket before TCP sees it: to
/// the other end its machine is silent. Needs no privileges.
inline bool begin_silence(boost::asio::ip::tcp::socket& socket)
{
    sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop};
    return ::setsockopt(socket.native_handle(),
                        SOL_SOCKET,
                        SO_ATTACH_FILTER,
                        &program,
                        sizeof(program)) == 0;
}

inline bool end_silence(boost::asio::ip::tcp::socket& socket)
{
    const int unused = 0;
    return ::setsockopt(socket.native_handle(),
                        SOL_SOCKET,
                        SO_DETACH_FILTER,
                        &unused,
                        sizeof(unused)) == 0;
}

/// Two ends of a connection on loopback.
struct connection_to_peer
{
    explicit connection_to_peer(boost::asio::io_context& context)
        : near(context),
          peer(context)
    {
        boost::asio::ip::tcp::acceptor acceptor(
            context, {boost::asio::ip::address_v4::loopback(), 0});
        near.connect(acceptor.local_endpoint());
        acceptor.accept(peer);
    }

    boost::asio::ip::tcp::socket near;
    boost::asio::ip::tcp::socket peer;
};

/// Waits for the end of a connection whose peer is silent from now on.
struct silent_connection : connection_to_peer
{
    using clock = std::chrono::steady_clock;

    using connection_to_peer::connection_to_peer;

    /// Starts the wait, with data in flight or only reading.
    void start(bool with_data)
    {
        begin_silence(peer);
        began_at = clock::now();
        if (with_data)
        {
            near.send(boost::asio::buffer("x", 1));
        }
        near.async_read_some(
            boost::asio::buffer(&byte, 1),
            [this](boost::system::error_code ended_by, std::size_t)
            {
                failure = ended_by;
                ended_after = clock::now() - began_at;
            });
    }

    clock::time_point began_at;
    char byte = 0;
    boost::system::error_code failure;
    duration ended_after{};
};

/// Waits until the connections have ended or the time is up.
template <class Connections>
void wait_for_ends(boost::asio::io_context& context,
                   Connections& connections,
                   duration longest)
{
    context.run_for(longest);
    for (auto& each : connections)
    {
        if (each->ended_after == duration::zero())
        {
            each->near.close();
            context.restart();
            context.run();
        }
    }
}

} // namespace limpet::http
