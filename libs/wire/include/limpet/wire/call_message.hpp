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

/// Operation requested by a call; determines the payload format.
enum class call_kind : std::uint8_t
{
    claim,        ///< Payload: claims command; reply: claims answer.
    newest_index, ///< Reply: index of the newest acknowledged log entry.
    /// Payload: a report of departures. Releases without them do not reply.
    record_departures,
};

/// A call to a control replica. The caller may retry it with the same id.
struct call
{
    std::uint64_t id = 0;
    call_kind kind = call_kind::claim;
    std::string payload;
};

/// Reply to the call with the same id.
struct reply
{
    std::uint64_t id = 0;
    /// The answer or an error. After not_leader the call has had no effect;
    /// after unavailable it is unknown whether the call was executed.
    outcome<std::string> result;
    /// The leader known to the replica, to which the caller should send its
    /// calls. Empty if the replica knows no leader.
    vm_id leader;
};

using call_message = std::variant<call, reply>;

/// Serializes the message into a frame payload.
std::string encode(const call_message& message);

/// Verifies and parses a frame payload. Errors: malformed.
outcome<call_message> decode_call_message(std::string_view payload);

} // namespace limpet::wire
