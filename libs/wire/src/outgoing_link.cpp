#include "outgoing_link.hpp"

#include "socket_options.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace limpet::wire
{

namespace net = boost::asio;

namespace
{

/// Small frames are written together up to this size.
constexpr std::size_t chunk_bytes = 64UL * 1024;

/// Returns what a frame takes from the budget of callers' data.
std::size_t counted_bytes(channel kind, std::size_t payload_bytes)
{
    return is_data(kind) ? queue_budget::counted(payload_bytes) : 0;
}

} // namespace

outgoing_link::outgoing_link(net::io_context& context,
                             vm_id peer,
                             net::ip::tcp::endpoint address,
                             const link_settings& settings,
                             std::string hello_payload,
                             traffic_counters& counters,
                             std::shared_ptr<queue_budget> data_budget,
                             std::function<void(const vm_id&)> on_lost)
    : m_strand(net::make_strand(context)),
      m_peer(std::move(peer)),
      m_address(std::move(address)),
      m_settings(settings),
      m_hello_payload(std::move(hello_payload)),
      m_counters(counters),
      m_data_budget(std::move(data_budget)),
      m_on_lost(std::move(on_lost)),
      m_socket(m_strand),
      m_wakeup_timer(m_strand)
{
}

void outgoing_link::start()
{
    net::co_spawn(
        m_strand,
        [self = shared_from_this()]() -> net::awaitable<void>
        {
            co_await self->run();
        },
        net::detached);
}

status outgoing_link::send(channel kind, std::string payload)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed)
    {
        return error{error_code::unavailable,
                     "connection to the peer is closed"};
    }
    if (m_queued_bytes + payload.size() > m_settings.max_queued_bytes)
    {
        return error{error_code::overloaded,
                     "send queue of peer " + m_peer.get() + " is full"};
    }
    if (!m_data_budget->try_take(counted_bytes(kind, payload.size())))
    {
        return error{error_code::overloaded,
                     "the data queued for all peers takes all memory"};
    }
    m_counters.count_sent(kind, payload.size());
    append_to_queue(kind, std::move(payload));
    if (m_writer_waiting)
    {
        m_writer_waiting = false;
        net::post(m_strand,
                  [self = shared_from_this()]
                  {
                      self->m_wakeup_timer.cancel();
                  });
    }
    return success();
}

void outgoing_link::close()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    net::post(m_strand,
              [self = shared_from_this()]
              {
                  boost::system::error_code ignored;
                  self->m_wakeup_timer.cancel();
                  self->m_socket.close(ignored);
              });
}

net::awaitable<void> outgoing_link::run()
{
    duration delay = m_settings.reconnect_delay;
    while (co_await wait_for_frames())
    {
        const bool connected = co_await connect();
        if (connected)
        {
            delay = m_settings.reconnect_delay;
            co_await write_frames();
        }
        drop_queued_frames();
        co_await sleep_for(delay);
        delay = std::min(delay * 2, m_settings.max_reconnect_delay);
    }
}

net::awaitable<bool> outgoing_link::wait_for_frames()
{
    for (;;)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || !m_queue.empty())
            {
                co_return !m_closed;
            }
            m_writer_waiting = true;
        }
        m_wakeup_timer.expires_at(net::steady_timer::time_point::max());
        boost::system::error_code woken;
        co_await m_wakeup_timer.async_wait(
            net::redirect_error(net::use_awaitable, woken));
    }
}

net::awaitable<bool> outgoing_link::connect()
{
    boost::system::error_code failure;
    m_socket = socket(m_strand);
    net::steady_timer limit(m_strand);
    limit.expires_after(m_settings.connect_timeout);
    limit.async_wait(
        [self = shared_from_this()](boost::system::error_code cancelled)
        {
            boost::system::error_code ignored;
            if (!cancelled && !self->m_connected)
            {
                self->m_socket.close(ignored);
            }
        });
    co_await m_socket.async_connect(
        m_address, net::redirect_error(net::use_awaitable, failure));
    if (failure)
    {
        co_return false;
    }
    m_connected = true;
    set_link_options(m_socket, m_settings.silence_timeout);
    std::string hello;
    append_frame(hello, channel::hello, m_hello_payload);
    co_await net::async_write(m_socket,
                              net::buffer(hello),
                              net::redirect_error(net::use_awaitable, failure));
    if (failure)
    {
        m_connected = false;
        co_return false;
    }
    m_counters.count_sent(channel::hello, m_hello_payload.size());
    net::co_spawn(
        m_strand,
        [self = shared_from_this()]() -> net::awaitable<void>
        {
            co_await self->watch_for_close();
        },
        net::detached);
    co_return true;
}

void outgoing_link::append_to_queue(channel kind, std::string payload)
{
    const std::size_t data_bytes = counted_bytes(kind, payload.size());
    m_queued_bytes += payload.size();
    const bool is_large = payload.size() > chunk_bytes / 2;
    const std::size_t bytes =
        frame_header_bytes + (is_large ? 0 : payload.size());
    if (m_queue.empty() || m_queue.back().bytes.size() + bytes > chunk_bytes)
    {
        m_queue.emplace_back();
    }
    if (is_large)
    {
        // The payload follows its header without a copy.
        const frame_header header = encode_frame_header(kind, payload.size());
        m_queue.back().bytes.append(header.data(), header.size());
        m_queue.push_back({std::move(payload), data_bytes});
        return;
    }
    append_frame(m_queue.back().bytes, kind, payload);
    m_queue.back().data_bytes += data_bytes;
}

net::awaitable<void> outgoing_link::write_frames()
{
    bool is_sound = true;
    while (m_connected && is_sound)
    {
        chunk_queue batch;
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed)
            {
                break;
            }
            std::swap(batch, m_queue);
            m_queued_bytes = 0;
            m_writer_waiting = batch.empty();
        }
        if (batch.empty())
        {
            m_wakeup_timer.expires_at(net::steady_timer::time_point::max());
            boost::system::error_code woken;
            co_await m_wakeup_timer.async_wait(
                net::redirect_error(net::use_awaitable, woken));
            continue;
        }
        is_sound = co_await write_chunks(std::move(batch));
    }
    m_connected = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

/// Returns false if the connection failed.
net::awaitable<bool> outgoing_link::write_chunks(chunk_queue chunks)
{
    boost::system::error_code failure;
    while (!chunks.empty() && !failure)
    {
        co_await net::async_write(
            m_socket,
            net::buffer(chunks.front().bytes),
            net::redirect_error(net::use_awaitable, failure));
        m_data_budget->give_back(chunks.front().data_bytes);
        chunks.pop_front();
    }
    give_back(chunks);
    co_return !failure;
}

void outgoing_link::give_back(const chunk_queue& chunks)
{
    for (const queued_chunk& each : chunks)
    {
        m_data_budget->give_back(each.data_bytes);
    }
}

net::awaitable<void> outgoing_link::watch_for_close()
{
    // The peer never writes on this connection, so the read completes only
    // when the connection is closed.
    std::array<char, 1> unused{};
    boost::system::error_code failure;
    co_await m_socket.async_read_some(
        net::buffer(unused), net::redirect_error(net::use_awaitable, failure));
    m_connected = false;
    m_wakeup_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

net::awaitable<void> outgoing_link::sleep_for(duration length)
{
    m_wakeup_timer.expires_after(length);
    boost::system::error_code ignored;
    co_await m_wakeup_timer.async_wait(
        net::redirect_error(net::use_awaitable, ignored));
}

void outgoing_link::drop_queued_frames()
{
    {
        const std::lock_guard lock(m_mutex);
        m_writer_waiting = false;
        give_back(m_queue);
        m_queue.clear();
        m_queued_bytes = 0;
        if (m_closed)
        {
            return;
        }
    }
    log_event(
        log_level::warn,
        "link.lost",
        {{"peer", m_peer.get()}, {"address", http::to_string(m_address)}});
    m_on_lost(m_peer);
}

} // namespace limpet::wire
