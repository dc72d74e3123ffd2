/// \file
/// Frames between the project's own processes.

#pragma once

#include <limpet/base/outcome.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::wire
{

/// Purpose of a frame. Decides its receiver, its connection and the class
/// under which its bytes are counted.
enum class channel : std::uint8_t
{
    hello = 1,      ///< First frame of a connection.
    membership = 2, ///< Membership, announcements and load digests.
    exchange = 3,   ///< Requests and answers between entry and owner.
    consensus = 4,  ///< Replicated log.
    control = 5,    ///< Commands, claims and their answers.
    config = 6,     ///< Configuration distribution.
    directory = 7,  ///< Operators' orders and backend servers' registrations.
};

constexpr std::size_t channel_count = 8;

/// Returns the channel's name for metrics.
std::string_view to_string(channel value) noexcept;

/// Returns whether the channel carries callers' data rather than control
/// traffic.
constexpr bool is_data(channel value) noexcept
{
    return value == channel::exchange;
}

/// Length-prefixed frame: 4 bytes payload length, little endian, 1 byte
/// channel, 3 bytes that must be zero, then the payload.
constexpr std::size_t frame_header_bytes = 8;

using frame_header = std::array<char, frame_header_bytes>;

/// Parsed header of a frame.
struct frame_info
{
    channel kind = channel::hello;
    std::size_t payload_bytes = 0;
};

/// Returns the header of a frame.
frame_header encode_frame_header(channel kind,
                                 std::size_t payload_bytes) noexcept;

/// Parses a header. Errors: malformed for an unknown channel, non-zero
/// reserved bytes or a payload over the limit.
outcome<frame_info> decode_frame_header(const frame_header& header,
                                        std::size_t max_payload_bytes);

/// Appends a whole frame to the buffer.
void append_frame(std::string& buffer, channel kind, std::string_view payload);

} // namespace limpet::wire
