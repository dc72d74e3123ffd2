/// \file
/// Helpers for building the unstreamed HTTP answers of the fake backend
/// servers.

#pragma once

#include <limpet/base/error.hpp>
#include <limpet/http/message.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::standin
{

/// Names of the header fields that the servers read and write.
namespace fields
{
inline constexpr std::string_view chat = "Limpet-Chat";
inline constexpr std::string_view content_type = "Content-Type";
inline constexpr std::string_view fencing = "Limpet-Fencing";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view last_event_id = "Last-Event-ID";
inline constexpr std::string_view request = "Limpet-Request";
} // namespace fields

/// Returns an answer with a JSON body.
http::response json_answer(unsigned status, std::string body);

/// Returns an answer whose JSON body has the error's code and message.
http::response error_answer(unsigned status, const error& reason);

/// Returns the field's value as a number, 0 if the field is missing
/// or is not a number.
std::uint64_t number_field(const http::request& call, std::string_view name);

} // namespace limpet::standin
