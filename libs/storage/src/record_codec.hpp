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

/// First record of each segment: the state of the log when the segment was
/// started.
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
    /// Size of the frame in the segment in bytes.
    std::size_t size = 0;
    /// Number of bytes of the segment that were durable when the frame was
    /// written.
    std::uint64_t synced = 0;
};

/// Appends the payload with its length and checksum. The checksum includes the
/// segment's number, so that old bytes of a reused file are not mistaken for
/// records.
void put_frame(std::string& out,
               std::string_view payload,
               std::uint64_t segment,
               std::uint64_t synced);

/// Returns the frame at the start of the bytes, or nullopt if it is incomplete
/// or its checksum does not match.
std::optional<frame> read_frame(std::string_view bytes, std::uint64_t segment);

/// Returns whether the segment was already durable beyond the position when a
/// later valid frame was written. If so, an invalid frame at the position is
/// corruption and not an incomplete write.
bool was_synced(std::string_view segment_bytes,
                std::size_t position,
                std::uint64_t segment);

} // namespace limpet::storage
