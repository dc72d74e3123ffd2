/// \file
/// Encoding of the messages between replicas with FlatBuffers.

#pragma once

#include <limpet/consensus/message.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace limpet::consensus
{

std::vector<std::uint8_t> encode_message(const message& value);

/// Returns nothing if the bytes are no valid message.
std::optional<message> decode_message(const std::vector<std::uint8_t>& bytes);

} // namespace limpet::consensus
