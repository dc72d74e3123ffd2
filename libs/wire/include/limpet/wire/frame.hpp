/// \file
/// Framing of the messages between routers and control replicas.

#pragma once

#include <limpet/base/outcome.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::wire
{

/// Purpose of a frame. Selects the component that handles the frame, the
/// connection that carries it and the label of its traffic counters.
enum class channel : std::uint8_t
{
    hello = 1,      ///< First frame of a connection.
    membership = 2, ///< Membership, announcements and load digests.
    exchange = 3,   ///< Requests and answers: entry to owner router.
    consensus = 4,  ///< Replicated log.
    control = 5,    ///< Commands, claims and their answers.
    config = 6,     ///< Configuration distribution.
    directory = 7,  ///< Operators' orders, registrations of servers.
    origins = 8,    ///< What began the streams, between routers.
    quarantine = 9, ///< Prompt parts that crash servers, between routers.
};

constexpr std::size_t channel_count = 10;

/// Returns the channel's name as used in metric labels.
std::string_view to_string(channel value) noexcept;

/// Returns whether the channel carries request and answer data of callers
/// rather than control traffic.
constexpr bool is_data(channel value) noexcept
{
    return value == channel::exchange;
}

/// Size of a frame header: 4 bytes payload length (little endian), 1 byte
/// channel, 3 reserved bytes that must be zero. The payload follows.
constexpr std::size_t frame_header_bytes = 8;

using frame_header = std::array<char, frame_header_bytes>;

/// Parsed header of a frame.
struct frame_info
{
    channel kind = channel::hello;
    std::size_t payload_bytes = 0;
};

/// Serializes a frame header.
frame_header encode_frame_header(channel kind,
                                 std::size_t payload_bytes) noexcept;

/// Parses a header. Errors: malformed for an unknown channel, non-zero
/// reserved bytes or a payload over the limit.
outcome<frame_info> decode_frame_header(const frame_header& header,
                                        std::size_t max_payload_bytes);

/// Appends the header and the payload of a frame to the buffer.
void append_frame(std::string& buffer, channel kind, std::string_view payload);

} // namespace limpet::wire
