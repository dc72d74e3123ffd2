/// \file
/// Compact form of load rows within messages.

#pragma once

#include "message.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace limpet::membership
{

/// Packs the rows.
std::vector<std::uint8_t> pack(const load_rows& rows);

/// Reads packed rows, or nothing if they are malformed.
std::optional<load_rows> unpack(const std::uint8_t* data, std::size_t size);

} // namespace limpet::membership
