/// \file
/// Connection on which frames of one peer are received.

#pragma once

#include <limpet/wire/link_hub.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <memory>

namespace limpet::wire
{

/// Reads frames until the peer closes the connection or violates the protocol.
/// A violation closes this connection only.
class incoming_link : public std::enable_shared_from_this<incoming_link>
{
public:
    using frame_handler = std::function<void(
        const link_identity& from, channel kind, std::string payload)>;

    incoming_link(boost::asio::ip::tcp::socket socket,
                  const link_settings& settings,
                  traffic_counters& counters,
                  frame_handler on_frame);

    /// Reads frames until the connection is closed.
    boost::asio::awaitable<void> run();

    /// Closes the connection. Call on the socket's executor.
    void close();

    boost::asio::any_io_executor executor()
    {
        return m_socket.get_executor();
    }

private:
    boost::asio::awaitable<status> buffer_at_least(std::size_t bytes);
    boost::asio::awaitable<outcome<frame_info>> read_header();
    boost::asio::awaitable<status> read_hello();
    boost::asio::awaitable<status> read_frame();
    std::string take_payload(std::size_t bytes);

    boost::asio::ip::tcp::socket m_socket;
    link_settings m_settings;
    traffic_counters& m_counters;
    frame_handler m_on_frame;
    link_identity m_peer;
    std::string m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace limpet::wire
