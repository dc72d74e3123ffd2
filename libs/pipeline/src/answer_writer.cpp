#include "answer_writer.hpp"

#include "headers.hpp"

namespace limpet::pipeline
{

namespace net = boost::asio;

namespace
{

/// Maximum size of a response body that is buffered until it is complete.
constexpr std::size_t max_buffered_bytes = 1024 * 1024;
/// Maximum size of a response body that is recorded for an idempotency key.
constexpr std::size_t max_recorded_bytes = 4096;
/// Outcome in the head of a stream. Its final outcome is not yet known; a
/// regular end of the stream means that it is complete.
constexpr std::string_view streaming_outcome = "streaming";

} // namespace

net::awaitable<status> answer_writer::head(const http::response_head& head)
{
    if (m_streaming)
    {
        co_return success();
    }
    m_head = head;
    if (is_event_stream(head))
    {
        co_return co_await begin_stream();
    }
    co_return success();
}

net::awaitable<status> answer_writer::part(const part_message& part)
{
    if (!m_streaming)
    {
        m_buffer += part.bytes;
        if (m_buffer.size() <= max_buffered_bytes)
        {
            co_return success();
        }
        m_resumable = false;
        const status begun = co_await begin_stream();
        if (!is_ok(begun))
        {
            co_return begun;
        }
        const std::string buffered = std::move(m_buffer);
        co_return co_await write(buffered);
    }
    if (part.last_event > 0)
    {
        m_context.events += part.last_event - m_last_event;
        m_last_event = part.last_event;
    }
    else
    {
        // Bytes without an event id cannot be deduplicated if another engine
        // sends them again.
        m_resumable = false;
    }
    co_return co_await write(part.bytes);
}

net::awaitable<status> answer_writer::complete()
{
    m_context.status = m_head.status;
    if (m_detached)
    {
        co_return success();
    }
    if (m_streaming)
    {
        co_return co_await m_context.caller.end_stream();
    }
    http::response answer;
    answer.head = make_head();
    answer.head.headers.set(headers::outcome, to_string(run_outcome::complete));
    answer.body = std::move(m_buffer);
    co_return co_await m_context.caller.respond(std::move(answer));
}

claims::settle answer_writer::make_settlement() const
{
    claims::settle result;
    result.status = static_cast<std::uint16_t>(m_head.status);
    result.media_type = m_head.headers.value_or_empty(headers::content_type);
    result.body_kept = !m_streaming && m_buffer.size() <= max_recorded_bytes;
    if (result.body_kept)
    {
        result.body = m_buffer;
    }
    return result;
}

void answer_writer::discard_buffer()
{
    m_buffer.clear();
}

net::awaitable<status> answer_writer::begin_stream()
{
    m_streaming = true;
    m_context.status = m_head.status;
    http::response_head head = make_head();
    head.headers.set(headers::outcome, streaming_outcome);
    if (m_detached)
    {
        co_return success();
    }
    co_return co_await m_context.caller.begin_stream(std::move(head));
}

net::awaitable<status> answer_writer::write(std::string_view bytes)
{
    if (m_detached)
    {
        co_return success();
    }
    co_return co_await m_context.caller.write(bytes);
}

http::response_head answer_writer::make_head() const
{
    http::response_head head = m_head;
    head.headers.set(headers::request, m_context.id.get());
    head.headers.set(headers::placement, m_context.engine.get());
    return head;
}

} // namespace limpet::pipeline
