/// \file
/// Priority of a request at the server that it is sent to.

#pragma once

#include <algorithm>
#include <cstdint>

namespace limpet::gateway
{

/// Prompt tokens from which a prompt counts as long. Its prefill takes a server
/// as long as a good part of a short request's latency objective, and the
/// objectives of long prompts leave more time.
constexpr std::uint32_t long_prompt_tokens = 4096;

/// Returns the priority of a request, 0 to 9, of which 0 is served first. The
/// rank decides; of one rank, short prompts go before long ones.
constexpr unsigned server_priority(unsigned rank,
                                   std::uint32_t prompt_tokens) noexcept
{
    constexpr unsigned lowest = 9;
    constexpr unsigned lowest_rank = 4;
    const unsigned is_long = prompt_tokens >= long_prompt_tokens ? 1 : 0;
    return std::min(2 * std::min(rank, lowest_rank) + 1 + is_long, lowest);
}

} // namespace limpet::gateway
