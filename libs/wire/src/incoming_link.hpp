/// \file
/// Connection on which frames of one peer are received.

#pragma once

#include "frame_memory.hpp"

#include <limpet/wire/link_hub.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
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
                  std::shared_ptr<frame_memory> memory,
                  frame_handler on_frame);
    ~incoming_link();

    incoming_link(const incoming_link&) = delete;
    incoming_link& operator=(const incoming_link&) = delete;

    /// Reads frames until the connection is closed.
    boost::asio::awaitable<void> run();

    /// Closes the connection. Call on the socket's executor.
    void close();

    /// Closes the connection. Thread-safe.
    void post_close();

    /// Returns whether the peer has announced itself. Thread-safe.
    bool has_hello() const noexcept
    {
        return m_has_hello;
    }

    time_point accepted_at() const noexcept
    {
        return m_accepted_at;
    }

    boost::asio::any_io_executor executor()
    {
        return m_socket.get_executor();
    }

private:
    void close_without_hello();
    boost::asio::awaitable<status> buffer_at_least(std::size_t bytes);
    boost::asio::awaitable<bool> grow(std::size_t bytes);
    bool keep_memory();
    void release_memory();
    boost::asio::awaitable<outcome<frame_info>> read_header();
    boost::asio::awaitable<status> read_hello();
    boost::asio::awaitable<status> read_frame();
    std::string take_payload(std::size_t bytes);

    boost::asio::ip::tcp::socket m_socket;
    link_settings m_settings;
    traffic_counters& m_counters;
    std::shared_ptr<frame_memory> m_memory;
    frame_handler m_on_frame;
    boost::asio::steady_timer m_timer;
    const time_point m_accepted_at = monotonic_clock::now();
    std::atomic<bool> m_has_hello = false;
    link_identity m_peer;
    std::string m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace limpet::wire
