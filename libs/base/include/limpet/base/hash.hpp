/// \file
/// Non-cryptographic hash that is equal on every node.

#pragma once

#include <cstdint>
#include <string_view>

namespace limpet
{

/// Returns the 64-bit hash of the bytes under the seed. The value is the same
/// on every machine and in every release.
std::uint64_t stable_hash(std::string_view bytes,
                          std::uint64_t seed = 0) noexcept;

/// Returns a hash of two hashes; the order of the arguments matters.
std::uint64_t combine_hashes(std::uint64_t first,
                             std::uint64_t second) noexcept;

} // namespace limpet
