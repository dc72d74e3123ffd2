/// \file
/// Encoding of log records and their checksummed frames.

#pragma once

#include <limpet/storage/records.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace limpet::storage
{

/// First record of each segment: the state of the log when it was begun.
struct segment_header
{
    hard_state hard;
    log_index base;
    term_number base_term;
    log_index last;
};

using record = std::variant<segment_header, hard_state, log_entry>;

std::string encode_record(const record& value);
std::optional<record> decode_record(std::string_view payload);

std::string encode_snapshot(const snapshot& value);
std::optional<snapshot> decode_snapshot(std::string_view bytes);

std::string encode_identity(incarnation storage);
std::optional<incarnation> decode_identity(std::string_view bytes);

/// A record found in a segment.
struct frame
{
    std::string_view payload;
    /// Size of the frame in the segment.
    std::size_t size = 0;
    /// How much of the segment was durable when the frame was written.
    std::uint64_t synced = 0;
};

/// Appends the payload with its length and checksum. The segment's number is
/// part of the checksum, so that bytes of a reused file are not taken for
/// records.
void put_frame(std::string& out,
               std::string_view payload,
               std::uint64_t segment,
               std::uint64_t synced);

/// Returns the frame at the start of the bytes unless it is incomplete or
/// fails its checksum.
std::optional<frame> read_frame(std::string_view bytes, std::uint64_t segment);

/// Returns whether a valid frame anywhere in the segment after the position
/// was written when the position was durable already. If so, a bad frame at
/// the position is damage and not an incomplete write.
bool was_synced(std::string_view segment_bytes,
                std::size_t position,
                std::uint64_t segment);

} // namespace limpet::storage
