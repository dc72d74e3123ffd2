/// \file
/// Cuts a server-sent event stream between its events.

#pragma once

#include <limpet/base/outcome.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::http
{

/// Whole events that a part of a stream completed.
struct event_batch
{
    /// The events as received, each with its closing blank line.
    std::string bytes;
    /// Id of the last numbered event in the batch, 0 without.
    std::uint64_t last_event = 0;
    /// Number of output tokens, one for each numbered event.
    std::uint64_t events = 0;
    /// Whether the stream's closing event is in the batch.
    bool done = false;
    /// Whether an event without an id is in the batch, other than the closing
    /// one and comments. Another run of the stream would repeat it.
    bool has_unnumbered = false;
};

/// Finds event boundaries, checks that numbered events follow each other, and
/// drops those that the caller already has. Events without an id are passed
/// on as they are, up to a bound; the rest of a stream has none of them.
class event_splitter
{
public:
    /// Events up to and including `resume_after` are dropped. An event, with
    /// all that comes after the last new numbered event, may have at most
    /// max_event_bytes: a stream that never ends makes no progress either.
    event_splitter(std::uint64_t resume_after, std::size_t max_event_bytes);

    /// Takes the next bytes. Errors: malformed for an event that is too long,
    /// an id that is no number, a gap between ids, or an event without an id
    /// after `resume_after`, which may belong to no stream: the closing event
    /// and comments need none.
    outcome<event_batch> feed(std::string_view bytes);

    /// Returns whether the closing event was seen.
    bool done() const noexcept
    {
        return m_done;
    }

    /// Returns whether the last event that the caller already has was among
    /// those dropped. It shows that the server has the stream.
    bool has_repeated_last() const noexcept
    {
        return m_has_repeated_last;
    }

    /// Returns whether an event has begun and not ended. A stream that ends
    /// here was cut off, whatever marked the end of its body.
    bool is_inside_event() const noexcept;

    /// Returns the number of bytes after the last whole event.
    std::size_t unfinished_bytes() const noexcept
    {
        return m_rest.size();
    }

private:
    status take_event(std::string_view event, event_batch& batch);

    std::uint64_t m_resume_after;
    bool m_has_repeated_last = false;
    std::uint64_t m_last_event;
    std::size_t m_max_event_bytes;
    std::string m_rest;
    /// Bytes of whole events since the last new numbered event.
    std::size_t m_bytes_without_progress = 0;
    std::size_t m_scanned = 0;
    bool m_done = false;
};

} // namespace limpet::http
