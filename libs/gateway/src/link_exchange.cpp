#include "link_exchange.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace limpet::gateway
{

namespace net = boost::asio;

namespace
{

/// Longest part of a response in one frame, so that the responses that share a
/// link take turns.
constexpr std::size_t max_part_bytes = 32UL * 1024;

error cancelled_error()
{
    return {error_code::cancelled, "the router that handed it over ended it"};
}

} // namespace

link_exchange::link_exchange(const net::any_io_executor& executor,
                             http::request received,
                             send_function send,
                             memory_function add_memory)
    : m_received(std::move(received)),
      m_send(std::move(send)),
      m_add_memory(std::move(add_memory)),
      m_credit_signal(executor)
{
}

net::awaitable<status> link_exchange::respond(http::response answer)
{
    pipeline::head_message head;
    head.sequence = m_sequence++;
    head.head = std::move(answer.head);
    head.is_whole = true;
    m_send(std::move(head));
    status written = co_await write(answer.body);
    m_result = is_ok(written) ? pipeline::finish_result::complete
                              : pipeline::finish_result::broken;
    co_return written;
}

net::awaitable<status> link_exchange::begin_stream(http::response_head head)
{
    pipeline::head_message message;
    message.sequence = m_sequence++;
    message.head = std::move(head);
    m_send(std::move(message));
    co_return success();
}

net::awaitable<status> link_exchange::write(std::string_view bytes)
{
    for (std::size_t from = 0; from < bytes.size(); from += max_part_bytes)
    {
        while (m_credit <= 0 && !m_is_cancelled)
        {
            m_blocked_since = monotonic_clock::now();
            m_credit_signal.expires_at(net::steady_timer::time_point::max());
            boost::system::error_code ignored;
            co_await m_credit_signal.async_wait(
                net::redirect_error(net::use_awaitable, ignored));
            m_blocked_since.reset();
        }
        if (m_is_cancelled)
        {
            co_return cancelled_error();
        }
        pipeline::part_message part;
        part.sequence = m_sequence++;
        part.bytes = std::string(bytes.substr(from, max_part_bytes));
        m_credit -= static_cast<std::int64_t>(part.bytes.size());
        m_send(std::move(part));
    }
    co_return success();
}

net::awaitable<status> link_exchange::end_stream()
{
    m_result = pipeline::finish_result::complete;
    co_return success();
}

void link_exchange::cut_off()
{
    m_result = pipeline::finish_result::broken;
    m_is_cancelled = true;
    m_credit_signal.cancel();
}

void link_exchange::on_caller_gone(std::function<void()> call)
{
    m_on_caller_gone = std::move(call);
}

void link_exchange::add_credit(std::uint32_t bytes)
{
    m_credit += bytes;
    m_credit_signal.cancel();
}

void link_exchange::cancel()
{
    m_is_cancelled = true;
    m_credit_signal.cancel();
    if (const auto call = std::exchange(m_on_caller_gone, nullptr))
    {
        call();
    }
}

void link_exchange::finish()
{
    send_finish(m_result, {error_code::io_error, "the response was cut off"});
}

void link_exchange::finish_not_run(error reason)
{
    send_finish(pipeline::finish_result::not_run, std::move(reason));
}

void link_exchange::send_finish(pipeline::finish_result result, error reason)
{
    pipeline::finish_message message;
    message.sequence = m_sequence++;
    message.result = result;
    message.reason = std::move(reason);
    m_send(std::move(message));
}

} // namespace limpet::gateway
