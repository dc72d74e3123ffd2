/// \file
/// Compact encoding of load rows within messages.

#pragma once

#include "message.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace limpet::membership
{

/// Encodes the rows.
std::vector<std::uint8_t> pack(const load_rows& rows);

/// Decodes rows. Returns nullopt if they are malformed.
std::optional<load_rows> unpack(const std::uint8_t* data, std::size_t size);

} // namespace limpet::membership
