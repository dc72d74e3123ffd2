/// \file
/// Answers that the router itself gives to callers.

#pragma once

#include "request_context.hpp"

#include <limpet/http/message.hpp>

#include <string_view>

namespace limpet::pipeline
{

/// Returns the HTTP status of an error.
unsigned status_of(error_code code) noexcept;

/// Returns the JSON answer of a refusal, with its outcome and, where trying
/// again helps, the time after which to do so.
http::response make_refusal(const request_id& request, const refusal& why);

/// Returns the answer to a request that the HTTP server refused.
http::response make_server_refusal(unsigned status, std::string_view reason);

/// Returns an answer with a JSON body.
http::response make_json(unsigned status, std::string body);

/// Returns an answer with a text body.
http::response make_text(unsigned status, std::string body);

} // namespace limpet::pipeline
