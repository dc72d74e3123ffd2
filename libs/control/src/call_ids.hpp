/// \file
/// Ids of the calls that a replica sends on the control channel.

#pragma once

#include <cstdint>

namespace limpet::control
{

/// Parts of a replica that send calls. Each ignores the replies to the others'.
enum class call_sender : std::uint8_t
{
    reads = 0,
    departures = 1
};

/// Returns the id before that of the sender's first call since the start, given
/// as Unix time in milliseconds. The following calls count from it. A reply to
/// a call of an earlier start must not match: what it says may be out of date.
constexpr std::uint64_t call_id_before_first(call_sender sender,
                                             std::uint64_t start_ms)
{
    constexpr unsigned sender_position = 63;
    // More calls in a millisecond than any replica sends.
    constexpr unsigned count_bits = 20;
    return (std::uint64_t{static_cast<std::uint8_t>(sender)}
            << sender_position) |
           (start_ms << count_bits);
}

} // namespace limpet::control
