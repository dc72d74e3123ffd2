/// \file
/// Answers to requests that the HTTP server refuses before they are handled.

#pragma once

#include <limpet/gateway/protocol.hpp>
#include <limpet/http/message.hpp>

#include <string_view>

namespace limpet::gateway
{

/// Makes the answer for the status and the reason. A request that is refused
/// for lack of room (503) has not run and is told when to return.
http::response make_server_refusal(const protocol& codec,
                                   unsigned status,
                                   std::string_view reason);

} // namespace limpet::gateway
