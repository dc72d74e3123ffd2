/// \file
/// Frames between routers about prompt parts that crash servers.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/strong_type.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::quarantine
{

/// Names what requests have in common: hash of a service and a part of prompts,
/// or of a whole request, which other requests equal if it is sent again. Equal
/// at all routers.
using part_key = strong_type<struct part_key_tag, std::uint64_t>;

/// The bit that is set in the keys of whole requests only.
constexpr std::uint64_t request_key_bit = std::uint64_t{1} << 63U;

inline part_key make_shared_part_key(std::uint64_t hash) noexcept
{
    return part_key(hash & ~request_key_bit);
}

inline part_key make_request_key(std::uint64_t hash) noexcept
{
    return part_key(hash | request_key_bit);
}

inline bool is_request_key(part_key key) noexcept
{
    return (key.get() & request_key_bit) != 0;
}

/// Hash of a server's id and start. A restarted server has another key.
using server_key = strong_type<struct server_key_tag, std::uint64_t>;

/// A request whose connection the server closed before the request was known to
/// be sound.
struct cut_off_request
{
    server_key server;
    /// The keys of the request, and the parts of its prompt that other requests
    /// may have too.
    std::vector<part_key> parts;
};

/// A part with which a server answered a request and lived on.
struct sound_part
{
    part_key part;
    /// Time since the last such answer.
    duration age{};
};

/// The quarantine of one part.
struct quarantine_entry
{
    part_key part;
    /// Increases with each quarantine and release of the part; the highest
    /// wins.
    std::uint32_t revision = 0;
    /// Trials after earlier quarantines that crashed a server again.
    std::uint32_t failed_trials = 0;
    /// Time until the quarantine ends; negative after its end.
    duration remaining{};
    /// A trial showed that the part does not crash servers.
    bool is_released = false;
};

/// One frame. Lists may be empty.
struct message
{
    std::vector<cut_off_request> cut_off;
    std::vector<sound_part> sound;
    /// Servers that answered after a request was reported as cut off.
    std::vector<server_key> live_servers;
    std::vector<quarantine_entry> entries;
    /// Hash of all entries of the sender; 0 if the message is no comparison.
    std::uint64_t digest = 0;
    /// Whether the message answers a comparison and needs no answer itself.
    bool is_answer = false;

    bool is_empty() const noexcept
    {
        return cut_off.empty() && sound.empty() && live_servers.empty() &&
               entries.empty() && digest == 0;
    }
};

std::string encode(const message& from);

/// Errors: malformed.
outcome<message> decode(std::string_view bytes);

} // namespace limpet::quarantine
