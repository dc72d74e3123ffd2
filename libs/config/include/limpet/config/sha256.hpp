/// \file
/// SHA-256 digests of team keys and operator tokens.

#pragma once

#include <limpet/base/outcome.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::config
{

/// A SHA-256 digest. Keys and tokens are long random strings, so their digests
/// are stored unsalted and are used as lookup keys.
struct sha256_digest
{
    std::array<std::uint8_t, 32> bytes{};

    /// Returns the raw bytes of the digest for hashing and comparison.
    std::string_view view() const noexcept;

    // False positive: the check takes the 0 in the comparisons that the
    // compiler rewrites for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const sha256_digest&,
                            const sha256_digest&) = default;
};

/// Returns the digest of the bytes.
sha256_digest sha256(std::string_view bytes);

/// Returns the digest as 64 lower-case hexadecimal digits.
std::string to_hex(const sha256_digest& digest);

/// Parses 64 hexadecimal digits. Returns an error for any other input.
outcome<sha256_digest> parse_sha256(std::string_view hex);

} // namespace limpet::config
