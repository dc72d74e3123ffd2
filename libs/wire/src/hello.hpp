/// \file
/// Codec of the hello frame, which opens each connection.

#pragma once

#include <limpet/wire/link_hub.hpp>

#include <string>
#include <string_view>

namespace limpet::wire
{

/// Returns the payload of the hello frame.
std::string encode_hello(const link_identity& self);

/// Parses the payload of a hello frame. Errors: malformed.
outcome<link_identity> decode_hello(std::string_view payload);

} // namespace limpet::wire
