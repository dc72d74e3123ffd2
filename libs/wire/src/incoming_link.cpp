#include "incoming_link.hpp"

#include "hello.hpp"

#include <limpet/base/log.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstring>

namespace limpet::wire
{

namespace net = boost::asio;

namespace
{

/// Buffer that each link has; more counts against the memory of all frames.
constexpr std::size_t initial_buffer_bytes = 16 * 1024;
/// Smallest buffer of a link that needs a larger one.
constexpr std::size_t min_grown_bytes = 64 * 1024;
constexpr std::size_t max_hello_bytes = 4 * 1024;
/// Time for which a frame waits for memory, and how often it tries to get some.
/// Shorter than the time after which a sender gives a link up.
constexpr duration memory_timeout = milliseconds(800);
constexpr duration memory_retry_delay = milliseconds(50);

} // namespace

incoming_link::incoming_link(net::ip::tcp::socket socket,
                             const link_settings& settings,
                             traffic_counters& counters,
                             std::shared_ptr<frame_memory> memory,
                             frame_handler on_frame)
    : m_socket(std::move(socket)),
      m_settings(settings),
      m_counters(counters),
      m_memory(std::move(memory)),
      m_on_frame(std::move(on_frame)),
      m_timer(m_socket.get_executor()),
      m_buffer(initial_buffer_bytes, '\0')
{
}

incoming_link::~incoming_link()
{
    m_memory->release(this);
}

net::awaitable<void> incoming_link::run()
{
    close_without_hello();
    status result = co_await read_hello();
    while (is_ok(result))
    {
        result = co_await read_frame();
    }
    close();
    const error_code reason = error_of(result).code;
    if (reason == error_code::malformed || reason == error_code::overloaded)
    {
        log_event(
            log_level::warn,
            "link.refused",
            {{"peer", m_peer.vm.get()}, {"reason", error_of(result).message}});
    }
}

void incoming_link::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
}

void incoming_link::post_close()
{
    net::post(m_socket.get_executor(),
              [self = shared_from_this()]
              {
                  self->close();
              });
}

/// Closes the connection if its peer does not announce itself in time.
void incoming_link::close_without_hello()
{
    m_timer.expires_after(m_settings.hello_timeout);
    m_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code cancelled)
        {
            if (!cancelled && !self->m_has_hello)
            {
                self->close();
            }
        });
}

net::awaitable<status> incoming_link::buffer_at_least(std::size_t bytes)
{
    if (m_begin > 0 && m_begin + bytes > m_buffer.size())
    {
        std::memmove(
            m_buffer.data(), m_buffer.data() + m_begin, m_end - m_begin);
        m_end -= m_begin;
        m_begin = 0;
    }
    boost::system::error_code failure;
    while (m_end - m_begin < bytes)
    {
        if (m_end == m_buffer.size() && !co_await grow(m_begin + bytes))
        {
            co_return error{error_code::overloaded,
                            "frames of other peers take all memory"};
        }
        const std::size_t count = co_await m_socket.async_read_some(
            net::buffer(m_buffer.data() + m_end, m_buffer.size() - m_end),
            net::redirect_error(net::use_awaitable, failure));
        if (failure)
        {
            co_return error{error_code::io_error, failure.message()};
        }
        m_end += count;
        if (!keep_memory())
        {
            co_return error{error_code::overloaded,
                            "frames of other peers took the memory"};
        }
    }
    co_return success();
}

/// Lets the buffer grow by a quarter, but not beyond so many bytes: a peer may
/// announce a frame and not send it. Waits for others' frames to be handled if
/// there is no memory; returns false if that takes too long.
net::awaitable<bool> incoming_link::grow(std::size_t bytes)
{
    const std::size_t larger =
        std::min(bytes, std::max(m_buffer.size() / 4 * 5, min_grown_bytes));
    const time_point until = monotonic_clock::now() + memory_timeout;
    while (!m_memory->resize(shared_from_this(), larger))
    {
        if (monotonic_clock::now() >= until || !m_socket.is_open())
        {
            co_return false;
        }
        m_timer.expires_after(memory_retry_delay);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(
            net::redirect_error(net::use_awaitable, ignored));
    }
    std::string buffer;
    buffer.reserve(larger);
    buffer.append(m_buffer, 0, m_end);
    buffer.resize(larger);
    m_buffer.swap(buffer);
    co_return true;
}

/// Records that the frame goes on. Returns false if its memory went to others.
bool incoming_link::keep_memory()
{
    return m_buffer.size() <= initial_buffer_bytes ||
           (m_socket.is_open() &&
            m_memory->resize(shared_from_this(), m_buffer.size()));
}

/// Goes back to a small buffer if the bytes that are left fit into it.
void incoming_link::release_memory()
{
    const std::size_t left = m_end - m_begin;
    if (m_buffer.size() <= initial_buffer_bytes || left > initial_buffer_bytes)
    {
        return;
    }
    std::string buffer(m_buffer, m_begin, left);
    buffer.resize(initial_buffer_bytes);
    buffer.shrink_to_fit();
    m_buffer.swap(buffer);
    m_begin = 0;
    m_end = left;
    m_memory->release(this);
}

net::awaitable<outcome<frame_info>> incoming_link::read_header()
{
    const status filled = co_await buffer_at_least(frame_header_bytes);
    if (!is_ok(filled))
    {
        co_return error_of(filled);
    }
    frame_header header{};
    std::copy_n(m_buffer.data() + m_begin, header.size(), header.data());
    m_begin += header.size();
    co_return decode_frame_header(header, m_settings.max_payload_bytes);
}

net::awaitable<status> incoming_link::read_hello()
{
    const outcome<frame_info> info = co_await read_header();
    if (!is_ok(info))
    {
        co_return error_of(info);
    }
    if (value_of(info).kind != channel::hello)
    {
        co_return error{error_code::malformed,
                        "first frame is not a hello frame"};
    }
    const std::size_t bytes = value_of(info).payload_bytes;
    if (bytes > max_hello_bytes)
    {
        co_return error{error_code::malformed, "hello frame is too large"};
    }
    const status filled = co_await buffer_at_least(bytes);
    if (!is_ok(filled))
    {
        co_return filled;
    }
    const outcome<link_identity> peer = decode_hello(take_payload(bytes));
    if (!is_ok(peer))
    {
        co_return error_of(peer);
    }
    m_peer = value_of(peer);
    m_has_hello = true;
    m_timer.cancel();
    m_counters.count_received(channel::hello, bytes);
    co_return success();
}

net::awaitable<status> incoming_link::read_frame()
{
    const outcome<frame_info> info = co_await read_header();
    if (!is_ok(info))
    {
        co_return error_of(info);
    }
    const std::size_t bytes = value_of(info).payload_bytes;
    const status filled = co_await buffer_at_least(bytes);
    if (!is_ok(filled))
    {
        co_return filled;
    }
    m_counters.count_received(value_of(info).kind, bytes);
    m_on_frame(m_peer, value_of(info).kind, take_payload(bytes));
    co_return success();
}

std::string incoming_link::take_payload(std::size_t bytes)
{
    std::string payload(m_buffer, m_begin, bytes);
    m_begin += bytes;
    if (m_begin == m_end)
    {
        m_begin = 0;
        m_end = 0;
    }
    release_memory();
    return payload;
}

} // namespace limpet::wire
