/// \file
/// Byte counts of the frames sent and received.

#pragma once

#include <limpet/wire/frame.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace limpet::wire
{

/// Counts frames and their bytes, including headers, by channel. Thread-safe.
class traffic_counters
{
public:
    void count_sent(channel kind, std::size_t payload_bytes) noexcept;
    void count_received(channel kind, std::size_t payload_bytes) noexcept;

    std::uint64_t sent_bytes(channel kind) const noexcept;
    std::uint64_t received_bytes(channel kind) const noexcept;
    std::uint64_t sent_frames(channel kind) const noexcept;
    std::uint64_t received_frames(channel kind) const noexcept;

private:
    struct totals
    {
        std::atomic<std::uint64_t> bytes{0};
        std::atomic<std::uint64_t> frames{0};
    };

    std::array<totals, channel_count> m_sent;
    std::array<totals, channel_count> m_received;
};

} // namespace limpet::wire
