#include "directory_generated.h"
#include "flatbuffer_text.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/directory/compressed_text.hpp>
#include <limpet/directory/text_delta.hpp>

#include <algorithm>
#include <unordered_map>

namespace limpet::directory
{

namespace
{

/// Calls `visit` for each entry of the text. An entry extends to the next
/// closing brace; the last one extends to the end of the text.
template <class Visit>
void for_each_entry(std::string_view text, Visit visit)
{
    std::size_t begin = 0;
    while (begin < text.size())
    {
        const std::size_t brace = text.find('}', begin);
        const std::size_t end = std::min(brace, text.size() - 1) + 1;
        visit(begin, text.substr(begin, end - begin));
        begin = end;
    }
}

/// Extends the last piece by the entry if that piece is a copy and the base
/// text continues with the entry. Thus an entry that occurs several times
/// joins the copy of its neighbours. Returns whether it was added.
bool extend_copy(std::vector<delta_piece>& pieces,
                 std::string_view base_text,
                 std::string_view entry)
{
    if (pieces.empty() || pieces.back().length == 0)
    {
        return false;
    }
    delta_piece& last = pieces.back();
    if (!base_text.substr(last.begin + last.length).starts_with(entry))
    {
        return false;
    }
    last.length += static_cast<std::uint32_t>(entry.size());
    return true;
}

void append_literal(std::vector<delta_piece>& pieces, std::string_view entry)
{
    if (pieces.empty() || pieces.back().length > 0)
    {
        pieces.emplace_back();
    }
    pieces.back().added += entry;
}

error base_mismatch()
{
    return {error_code::corrupt,
            "the delta was made for another version of the document"};
}

} // namespace

text_delta make_delta(std::string_view base_text, std::string_view text)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for_each_entry(base_text,
                   [&offsets](std::size_t begin, std::string_view entry)
                   {
                       offsets.emplace(entry, begin);
                   });
    text_delta result;
    result.digest = stable_hash(text);
    for_each_entry(text,
                   [&](std::size_t, std::string_view entry)
                   {
                       if (extend_copy(result.pieces, base_text, entry))
                       {
                           return;
                       }
                       const auto found = offsets.find(entry);
                       if (found == offsets.end())
                       {
                           append_literal(result.pieces, entry);
                           return;
                       }
                       result.pieces.push_back(
                           {static_cast<std::uint32_t>(found->second),
                            static_cast<std::uint32_t>(entry.size()),
                            {}});
                   });
    return result;
}

std::string encode(const text_delta& from)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::piece>> pieces;
    pieces.reserve(from.pieces.size());
    for (const delta_piece& each : from.pieces)
    {
        pieces.push_back(fb::Createpiece(builder,
                                         each.begin,
                                         each.length,
                                         builder.CreateString(each.added)));
    }
    builder.Finish(fb::Createtext_deltaDirect(builder, &pieces, from.digest));
    return compressed_text::compress(bytes_of(builder)).bytes();
}

outcome<text_delta> decode_delta(std::string_view bytes)
{
    const auto decompressed = compressed_text(std::string(bytes)).decompress();
    const auto* from = is_ok(decompressed)
                           ? read_root<fb::text_delta>(value_of(decompressed))
                           : nullptr;
    if (from == nullptr)
    {
        return error{error_code::malformed,
                     "malformed or damaged delta of a document"};
    }
    text_delta delta;
    delta.digest = from->digest();
    if (from->pieces() != nullptr)
    {
        for (const auto* each : *from->pieces())
        {
            delta.pieces.push_back(
                {each->begin(), each->length(), text_or_empty(each->added())});
        }
    }
    return delta;
}

outcome<std::string> apply_delta(const text_delta& delta,
                                 std::string_view base_text)
{
    std::string text;
    for (const delta_piece& each : delta.pieces)
    {
        if (each.begin > base_text.size() ||
            each.length > base_text.size() - each.begin)
        {
            return base_mismatch();
        }
        text += base_text.substr(each.begin, each.length);
        text += each.added;
    }
    if (stable_hash(text) != delta.digest)
    {
        return base_mismatch();
    }
    return text;
}

} // namespace limpet::directory
