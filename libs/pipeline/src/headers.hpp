/// \file
/// Names of the header fields that the router reads and writes.

#pragma once

#include <limpet/http/message.hpp>

#include <string_view>

namespace limpet::pipeline::headers
{

inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view connection = "Connection";
inline constexpr std::string_view content_length = "Content-Length";
inline constexpr std::string_view content_type = "Content-Type";
inline constexpr std::string_view host = "Host";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view last_event_id = "Last-Event-ID";
inline constexpr std::string_view retry_after = "Retry-After";
inline constexpr std::string_view transfer_encoding = "Transfer-Encoding";

inline constexpr std::string_view chat = "Limpet-Chat";
inline constexpr std::string_view fencing = "Limpet-Fencing";
inline constexpr std::string_view outcome = "Limpet-Outcome";
inline constexpr std::string_view placement = "Limpet-Placement";
inline constexpr std::string_view priority = "Limpet-Priority";
inline constexpr std::string_view replayed = "Limpet-Replayed";
inline constexpr std::string_view request = "Limpet-Request";
inline constexpr std::string_view retry_after_ms = "Limpet-Retry-After-Ms";

} // namespace limpet::pipeline::headers

namespace limpet::pipeline
{

/// Returns whether the response is a stream of server-sent events. That of an
/// error is not: no other engine's events may follow it.
inline bool is_event_stream(const http::response_head& head)
{
    constexpr unsigned ok = 200;
    return head.status == ok &&
           head.headers.value_or_empty(headers::content_type)
               .starts_with("text/event-stream");
}

} // namespace limpet::pipeline
