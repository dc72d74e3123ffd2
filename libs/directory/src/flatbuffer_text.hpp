/// \file
/// Helpers for strings and root tables in FlatBuffers.

#pragma once

#include <limpet/base/ids.hpp>

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::directory
{

using text_list_offset = flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>;

/// Returns the bytes of a finished buffer.
inline std::string bytes_of(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

/// Writes the texts of a range.
template <class Range>
text_list_offset write_texts(flatbuffers::FlatBufferBuilder& builder,
                             const Range& texts)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> offsets;
    offsets.reserve(texts.size());
    for (const std::string& each : texts)
    {
        offsets.push_back(builder.CreateString(each));
    }
    return builder.CreateVector(offsets);
}

/// Writes the names of VMs; nothing if there are none.
inline text_list_offset write_names(flatbuffers::FlatBufferBuilder& builder,
                                    const std::vector<vm_id>& names)
{
    if (names.empty())
    {
        return 0;
    }
    std::vector<std::string> texts;
    texts.reserve(names.size());
    for (const vm_id& each : names)
    {
        texts.push_back(each.get());
    }
    return write_texts(builder, texts);
}

inline std::vector<vm_id> read_names(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* from)
{
    std::vector<vm_id> names;
    if (from != nullptr)
    {
        for (const auto* each : *from)
        {
            names.emplace_back(each->str());
        }
    }
    return names;
}

inline std::string text_or_empty(const flatbuffers::String* text)
{
    return text == nullptr ? std::string() : text->str();
}

/// Returns the root table of the buffer, or null if verification fails. The
/// bytes must be aligned.
template <class Table>
const Table* read_root(const std::string& aligned)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(data, aligned.size());
    return verifier.VerifyBuffer<Table>(nullptr)
               ? flatbuffers::GetRoot<Table>(data)
               : nullptr;
}

} // namespace limpet::directory
