/// \file
/// Calls to control replicas and their replies.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace limpet::wire
{

/// What a call asks for; decides the form of its payload.
enum class call_kind : std::uint8_t
{
    claim,        ///< A claims command, answered by a claims answer.
    newest_index, ///< Answered by the index of the newest acknowledged entry.
};

/// A call. The caller may send it again under the same id.
struct call
{
    std::uint64_t id = 0;
    call_kind kind = call_kind::claim;
    std::string payload;
};

/// Reply to the call of the id.
struct reply
{
    std::uint64_t id = 0;
    /// The answer, or why there is none. not_leader means that the call had no
    /// effect, unavailable that its effect is unknown.
    outcome<std::string> result;
    /// The leader as far as known, where calls should go; may be empty.
    vm_id leader;
};

using call_message = std::variant<call, reply>;

/// Returns the message's frame payload.
std::string encode(const call_message& message);

/// Verifies and parses a frame payload. Errors: malformed.
outcome<call_message> decode_call_message(std::string_view payload);

} // namespace limpet::wire
