#include "directory_generated.h"
#include "flat_text.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/directory/packed_text.hpp>
#include <limpet/directory/text_delta.hpp>

#include <algorithm>
#include <unordered_map>

namespace limpet::directory
{

namespace
{

/// Calls for each entry of the text: what ends with a closing brace, and the
/// rest.
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

/// Adds the entry to the last piece if that is a copy and the former text
/// goes on with the entry. Entries that stand in many places stay in one copy
/// with their neighbours so.
bool extend_copy(std::vector<delta_piece>& pieces,
                 std::string_view former,
                 std::string_view entry)
{
    if (pieces.empty() || pieces.back().length == 0)
    {
        return false;
    }
    delta_piece& last = pieces.back();
    if (!former.substr(last.begin + last.length).starts_with(entry))
    {
        return false;
    }
    last.length += static_cast<std::uint32_t>(entry.size());
    return true;
}

void add_new(std::vector<delta_piece>& pieces, std::string_view entry)
{
    if (pieces.empty() || pieces.back().length > 0)
    {
        pieces.emplace_back();
    }
    pieces.back().added += entry;
}

error wrong_base()
{
    return {error_code::corrupt,
            "the change belongs to another version of the document"};
}

} // namespace

text_delta make_delta(std::string_view former, std::string_view text)
{
    std::unordered_map<std::string_view, std::size_t> places;
    for_each_entry(former,
                   [&places](std::size_t begin, std::string_view entry)
                   {
                       places.emplace(entry, begin);
                   });
    text_delta result;
    result.digest = stable_hash(text);
    for_each_entry(text,
                   [&](std::size_t, std::string_view entry)
                   {
                       if (extend_copy(result.pieces, former, entry))
                       {
                           return;
                       }
                       const auto known = places.find(entry);
                       if (known == places.end())
                       {
                           add_new(result.pieces, entry);
                           return;
                       }
                       result.pieces.push_back(
                           {static_cast<std::uint32_t>(known->second),
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
    return packed_text::pack(bytes_of(builder)).bytes();
}

outcome<text_delta> decode_delta(std::string_view bytes)
{
    const auto unpacked = packed_text(std::string(bytes)).unpack();
    const auto* from = is_ok(unpacked)
                           ? read_root<fb::text_delta>(value_of(unpacked))
                           : nullptr;
    if (from == nullptr)
    {
        return error{error_code::malformed,
                     "the change of a document cannot be read"};
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
                                 std::string_view former)
{
    std::string text;
    for (const delta_piece& each : delta.pieces)
    {
        if (each.begin > former.size() ||
            each.length > former.size() - each.begin)
        {
            return wrong_base();
        }
        text += former.substr(each.begin, each.length);
        text += each.added;
    }
    if (stable_hash(text) != delta.digest)
    {
        return wrong_base();
    }
    return text;
}

} // namespace limpet::directory
