#include <limpet/wire/frame.hpp>

namespace limpet::wire
{

namespace
{

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t channel_offset = 4;

std::size_t read_length(const frame_header& header) noexcept
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        const auto part = static_cast<unsigned char>(header[i]);
        length |= static_cast<std::size_t>(part) << (bits_per_byte * i);
    }
    return length;
}

bool is_known(std::uint8_t value) noexcept
{
    return value >= static_cast<std::uint8_t>(channel::hello) &&
           value <= static_cast<std::uint8_t>(channel::quarantine);
}

} // namespace

std::string_view to_string(channel value) noexcept
{
    switch (value)
    {
    case channel::hello:
        return "hello";
    case channel::membership:
        return "membership";
    case channel::exchange:
        return "exchange";
    case channel::consensus:
        return "consensus";
    case channel::control:
        return "control";
    case channel::config:
        return "config";
    case channel::directory:
        return "directory";
    case channel::origins:
        return "origins";
    case channel::quarantine:
        return "quarantine";
    }
    return "unknown";
}

frame_header encode_frame_header(channel kind,
                                 std::size_t payload_bytes) noexcept
{
    frame_header header{};
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        header[i] = static_cast<char>(payload_bytes >> (bits_per_byte * i));
    }
    header[channel_offset] = static_cast<char>(kind);
    return header;
}

outcome<frame_info> decode_frame_header(const frame_header& header,
                                        std::size_t max_payload_bytes)
{
    const auto kind = static_cast<std::uint8_t>(header[channel_offset]);
    if (!is_known(kind))
    {
        return error{error_code::malformed,
                     "unknown frame channel " + std::to_string(kind)};
    }
    for (std::size_t i = channel_offset + 1; i < frame_header_bytes; ++i)
    {
        if (header[i] != 0)
        {
            return error{error_code::malformed,
                         "reserved bytes of frame header are not zero"};
        }
    }
    const std::size_t length = read_length(header);
    if (length > max_payload_bytes)
    {
        return error{error_code::malformed,
                     "frame payload of " + std::to_string(length) +
                         " bytes exceeds the limit of " +
                         std::to_string(max_payload_bytes)};
    }
    return frame_info{static_cast<channel>(kind), length};
}

void append_frame(std::string& buffer, channel kind, std::string_view payload)
{
    const frame_header header = encode_frame_header(kind, payload.size());
    buffer.append(header.data(), header.size());
    buffer.append(payload);
}

} // namespace limpet::wire
