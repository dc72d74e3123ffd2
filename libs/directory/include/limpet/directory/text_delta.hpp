/// \file
/// Delta encoding between two versions of a text.

#pragma once

#include <limpet/base/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::directory
{

/// A piece of the new text: a copy from the base text, or literal bytes.
struct delta_piece
{
    /// Offset and length of the copy in the base text, in bytes; the length is
    /// 0 if the piece is a literal.
    std::uint32_t begin = 0;
    std::uint32_t length = 0;
    /// Literal bytes.
    std::string added;
};

/// Delta from a base text, which the receiver has, to a new text. A change of
/// one entry in a long list takes a few hundred bytes, however long the list
/// is.
struct text_delta
{
    std::vector<delta_piece> pieces;
    /// Hash of the new text.
    std::uint64_t digest = 0;
};

/// Returns the delta from the base text to `text`. Common parts are found in
/// units that end with a closing brace, as the entries of JSON lists do.
text_delta make_delta(std::string_view base_text, std::string_view text);

/// Returns the delta in compressed wire form.
std::string encode(const text_delta& from);

/// Decodes the wire form of a delta. Errors: malformed.
outcome<text_delta> decode_delta(std::string_view bytes);

/// Returns the new text. Errors: corrupt if the delta was made for another base
/// text.
outcome<std::string> apply_delta(const text_delta& delta,
                                 std::string_view base_text);

} // namespace limpet::directory
