/// \file
/// Connection on which frames are sent to one peer.

#pragma once

#include "queue_budget.hpp"

#include <limpet/wire/link_hub.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace limpet::wire
{

/// Connects to a peer once a frame is queued and writes the frames in order.
/// When the connection is lost or cannot be established, the queued frames
/// are dropped and on_lost is called. Thread-safe.
class outgoing_link : public std::enable_shared_from_this<outgoing_link>
{
public:
    outgoing_link(boost::asio::io_context& context,
                  vm_id peer,
                  boost::asio::ip::tcp::endpoint address,
                  const link_settings& settings,
                  std::string hello_payload,
                  traffic_counters& counters,
                  std::shared_ptr<queue_budget> data_budget,
                  std::function<void(const vm_id&)> on_lost);

    /// Starts the coroutine that connects and writes queued frames.
    void start();

    /// Queues a frame. Errors: overloaded if the queue is full, or the budget
    /// of callers' data for all peers; unavailable after close.
    status send(channel kind, std::string payload);

    /// Closes the connection; it is not opened again.
    void close();

    const boost::asio::ip::tcp::endpoint& address() const noexcept
    {
        return m_address;
    }

private:
    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using socket = boost::asio::ip::tcp::socket;

    /// Small frames that are written together, or the payload of a large one.
    struct queued_chunk
    {
        std::string bytes;
        /// What the budget of callers' data counts of them.
        std::size_t data_bytes = 0;
    };
    using chunk_queue = std::deque<queued_chunk>;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> wait_for_frames();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> write_frames();
    boost::asio::awaitable<void> watch_for_close();
    boost::asio::awaitable<void> sleep_for(duration length);
    void append_to_queue(channel kind, std::string payload);
    boost::asio::awaitable<bool> write_chunks(chunk_queue chunks);
    void give_back(const chunk_queue& chunks);
    void drop_queued_frames();

    strand m_strand;
    vm_id m_peer;
    boost::asio::ip::tcp::endpoint m_address;
    link_settings m_settings;
    std::string m_hello_payload;
    traffic_counters& m_counters;
    std::shared_ptr<queue_budget> m_data_budget;
    std::function<void(const vm_id&)> m_on_lost;
    socket m_socket;
    boost::asio::steady_timer m_wakeup_timer;
    bool m_connected = false;

    std::mutex m_mutex;
    chunk_queue m_queue;
    std::size_t m_queued_bytes = 0;
    bool m_writer_waiting = false;
    bool m_closed = false;
};

} // namespace limpet::wire
