/// \file
/// Writes one answer to its caller, possibly from several engines.

#pragma once

#include "request_context.hpp"

#include <limpet/claims/claim_command.hpp>
#include <limpet/pipeline/exchange_message.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace limpet::pipeline
{

/// Holds a short answer back until it is whole, so that its outcome is in the
/// head; streams events as they come. A stream may go on with another engine
/// after the last event written.
class answer_writer
{
public:
    explicit answer_writer(request_context& context)
        : m_context(context)
    {
    }

    /// Takes the head of an engine's answer. A later head of the same stream
    /// is dropped.
    boost::asio::awaitable<status> head(const http::response_head& head);

    /// Writes or keeps a part of the body.
    boost::asio::awaitable<status> part(const part_message& part);

    /// Ends the answer regularly.
    boost::asio::awaitable<status> complete();

    /// Returns the whole answer for the record, without its body if that is
    /// long or was streamed. Call before complete().
    claims::settle recorded() const;

    /// Writes nothing more to the caller, who has gone.
    void detach() noexcept
    {
        m_detached = true;
    }

    /// Drops what was kept, so that the request can run again from the start.
    void restart();

    /// Returns whether the caller has received a part of the answer.
    bool started() const noexcept
    {
        return m_streaming;
    }

    /// Returns whether another engine can go on where this answer stands.
    bool can_resume() const noexcept
    {
        return !m_streaming || m_resumable;
    }

    /// Returns the id of the last event written, or that the caller had.
    std::uint64_t last_event() const noexcept
    {
        return m_last_event;
    }

    /// Sets the event that the caller already has.
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
    std::string m_kept;
    std::uint64_t m_last_event = 0;
    bool m_streaming = false;
    bool m_resumable = true;
    bool m_detached = false;
};

} // namespace limpet::pipeline
