/// \file
/// Responses that the router itself generates.

#pragma once

#include "request_context.hpp"

#include <limpet/http/message.hpp>

#include <string_view>

namespace limpet::pipeline
{

/// Returns the HTTP status for an error code.
unsigned status_of(error_code code) noexcept;

/// Returns the JSON response for a refusal, with the request's outcome and, if
/// a retry is useful, the time after which to retry.
http::response make_refusal(const request_id& request, const refusal& why);

/// Returns the response to a request that the HTTP server rejected.
http::response make_server_refusal(unsigned status, std::string_view reason);

/// Returns a response with a JSON body.
http::response make_json(unsigned status, std::string body);

/// Returns a response with a text body.
http::response make_text(unsigned status, std::string body);

} // namespace limpet::pipeline
