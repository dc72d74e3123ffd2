/// \file
/// Traffic of a replica with other processes between two log lines.

#pragma once

#include <limpet/wire/traffic_counters.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace limpet::control
{

/// Remembers the counters at the last call. Not thread-safe.
class traffic_meter
{
public:
    /// Returns the traffic since the last call as text, such as
    /// "directory 120/3 kB 65/12 frames": sent and received. Channels without
    /// traffic are left out.
    std::string take_summary(const wire::traffic_counters& counters);

private:
    struct mark
    {
        std::uint64_t sent_bytes = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t sent_frames = 0;
        std::uint64_t received_frames = 0;
    };

    std::array<mark, wire::channel_count> m_marks{};
};

} // namespace limpet::control
