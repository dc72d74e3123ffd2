/// \file
/// Writes one response to its caller, possibly from several engines.

#pragma once

#include "request_context.hpp"

#include <limpet/claims/claim_command.hpp>
#include <limpet/pipeline/exchange_message.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace limpet::pipeline
{

/// Buffers a short response until it is complete, so that its outcome can be
/// sent in the head, and streams events as they arrive. After a failure,
/// another engine can continue a stream after the last event written.
class answer_writer
{
public:
    explicit answer_writer(request_context& context)
        : m_context(context)
    {
    }

    /// Processes the head of an engine's response. Further heads of the same
    /// stream are ignored.
    boost::asio::awaitable<status> head(const http::response_head& head);

    /// Writes or buffers a part of the body.
    boost::asio::awaitable<status> part(const part_message& part);

    /// Completes the response.
    boost::asio::awaitable<status> complete();

    /// Returns the response as recorded for its idempotency key, without the
    /// body if that is long or was streamed. Must be called before complete().
    claims::settle make_settlement() const;

    /// Stops writing to the caller, which has disconnected.
    void detach() noexcept
    {
        m_detached = true;
    }

    /// Discards the buffered body, so that the request can run again from the
    /// start.
    void discard_buffer();

    /// Returns whether a part of the response has been sent to the caller.
    bool started() const noexcept
    {
        return m_streaming;
    }

    /// Returns whether another engine can continue the response from its
    /// current position.
    bool can_resume() const noexcept
    {
        return !m_streaming || m_resumable;
    }

    /// Returns the id of the last event written, or else of the last event that
    /// the caller had already received.
    std::uint64_t last_event() const noexcept
    {
        return m_last_event;
    }

    /// Sets the id of the last event that the caller has already received.
    void set_last_event(std::uint64_t id) noexcept
    {
        m_last_event = id;
    }

private:
    boost::asio::awaitable<status> begin_stream();
    boost::asio::awaitable<status> write(std::string_view bytes);
    http::response_head make_head() const;

    request_context& m_context;
    http::response_head m_head;
    std::string m_buffer;
    std::uint64_t m_last_event = 0;
    bool m_streaming = false;
    bool m_resumable = true;
    bool m_detached = false;
};

} // namespace limpet::pipeline
