#include "incoming_link.hpp"

#include "hello.hpp"

#include <limpet/base/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstring>

namespace limpet::wire
{

namespace net = boost::asio;

namespace
{

constexpr std::size_t initial_buffer_bytes = 16 * 1024;

} // namespace

incoming_link::incoming_link(net::ip::tcp::socket socket,
                             const link_settings& settings,
                             traffic_counters& counters,
                             frame_handler on_frame)
    : m_socket(std::move(socket)),
      m_settings(settings),
      m_counters(counters),
      m_on_frame(std::move(on_frame)),
      m_buffer(initial_buffer_bytes, '\0')
{
}

net::awaitable<void> incoming_link::run()
{
    status result = co_await read_hello();
    while (is_ok(result))
    {
        result = co_await read_frame();
    }
    close();
    if (error_of(result).code == error_code::malformed)
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
    if (bytes > m_buffer.size())
    {
        m_buffer.resize(bytes);
    }
    boost::system::error_code failure;
    while (m_end - m_begin < bytes)
    {
        const std::size_t count = co_await m_socket.async_read_some(
            net::buffer(m_buffer.data() + m_end, m_buffer.size() - m_end),
            net::redirect_error(net::use_awaitable, failure));
        if (failure)
        {
            co_return error{error_code::io_error, failure.message()};
        }
        m_end += count;
    }
    co_return success();
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
    return payload;
}

} // namespace limpet::wire
