/// \file
/// FlatBuffers encoding of the messages between replicas.

#pragma once

#include <limpet/consensus/message.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace limpet::consensus
{

/// Encodes a message.
std::vector<std::uint8_t> encode_message(const message& value);

/// Decodes a message. Returns nothing if the bytes are not a valid message.
std::optional<message> decode_message(const std::vector<std::uint8_t>& bytes);

} // namespace limpet::consensus
