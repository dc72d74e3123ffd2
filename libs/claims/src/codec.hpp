/// \file
/// FlatBuffers helpers shared by commands, answers and snapshots.

#pragma once

#include "claims_generated.h"

#include <limpet/claims/claim_command.hpp>

#include <string>
#include <string_view>

namespace limpet::claims
{

/// Returns the bytes of the finished buffer.
std::string finished_bytes(const flatbuffers::FlatBufferBuilder& builder);

/// Adds a recorded answer to the buffer.
flatbuffers::Offset<fb::Settle>
write_settle(flatbuffers::FlatBufferBuilder& builder, const settle& result);

/// Reads a recorded answer. Returns an empty one for null.
settle read_settle(const fb::Settle* result);

/// Returns the text, or an empty one for null.
std::string read_text(const flatbuffers::String* text);

inline fb::Key write_key(const claim_key& key)
{
    return fb::Key(key.high, key.low);
}

inline claim_key read_key(const fb::Key& key)
{
    return {key.high(), key.low()};
}

/// Returns the root table of the buffer, or null if the buffer is invalid.
template <class Table>
const Table* verified_root(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<Table>(nullptr))
    {
        return nullptr;
    }
    return flatbuffers::GetRoot<Table>(data);
}

} // namespace limpet::claims
