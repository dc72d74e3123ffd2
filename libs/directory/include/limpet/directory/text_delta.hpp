/// \file
/// What changed from one version of a text to the next.

#pragma once

#include <limpet/base/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::directory
{

/// A part of the new text: bytes of the former one, or new ones.
struct delta_piece
{
    /// Place and length in the former text, in bytes; no length if the piece
    /// is new.
    std::uint32_t begin = 0;
    std::uint32_t length = 0;
    std::string added;
};

/// Makes a text from a former one that the receiver holds. A change of one
/// entry in a long list takes a few hundred bytes, however long the list is.
struct text_delta
{
    std::vector<delta_piece> pieces;
    /// Hash of the new text.
    std::uint64_t digest = 0;
};

/// Returns the pieces of the text. Parts that both texts have are found where
/// they end with a closing brace, as the entries of JSON lists do.
text_delta make_delta(std::string_view former, std::string_view text);

/// Returns the packed bytes of the delta, and the delta of such bytes. Errors:
/// malformed.
std::string encode(const text_delta& from);
outcome<text_delta> decode_delta(std::string_view bytes);

/// Returns the new text. Errors: corrupt if the delta belongs to another
/// former text.
outcome<std::string> apply_delta(const text_delta& delta,
                                 std::string_view former);

} // namespace limpet::directory
