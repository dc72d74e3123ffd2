/// \file
/// Operators' commands and their results.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/objects.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace limpet::config
{

/// Creates the object or replaces it as a whole.
struct put_object
{
    object value;
};

/// Removes the object.
struct remove_object
{
    object_key key;
};

/// Takes a data centre or backend server in or out of service.
struct set_service
{
    object_key key;
    bool in_service = true;
    /// Where a backend server stands, needed if it is not listed yet.
    std::optional<data_centre_id> location;
};

using change = std::variant<put_object, remove_object, set_service>;

/// An operator's command. It takes effect at most once, however often it is
/// sent.
struct command
{
    /// Chosen by the operator; a resent id gets the first answer.
    operation_id operation;
    /// The authenticated operator. Set by the operators' endpoint, not read
    /// from the operator's document.
    operator_id author;
    std::uint64_t submitted_unix_ms = 0;
    /// Revision at which the object must have changed last; 0 if it must not
    /// exist.
    revision expected;
    change what;
};

/// The command took effect.
struct accepted
{
    /// Revision of the configuration and of the object after the change.
    revision number;

    friend bool operator==(const accepted&, const accepted&) = default;
};

/// The last change of an object that made a command's expected revision wrong.
struct conflict_winner
{
    revision number;
    operator_id author;

    friend bool operator==(const conflict_winner&,
                           const conflict_winner&) = default;
};

/// The command had no effect.
struct rejected
{
    error_code code = error_code::internal;
    /// Field of the command's document that is wrong; may be empty.
    std::string field;
    std::string reason;
    /// The change that won, if the code is error_code::conflict.
    std::optional<conflict_winner> winner;

    friend bool operator==(const rejected&, const rejected&) = default;
};

using command_result = std::variant<accepted, rejected>;

/// Returns the key of the object that the command changes.
object_key target_of(const change& what);

/// Parses an operator's document, such as
/// `{"operation": "op-1", "expected_revision": 0,
///   "put": {"kind": "partner", "id": "bureau"}}`.
/// Errors name the field and the reason; unknown fields are refused.
outcome<command> parse_command(const boost::json::value& document);

/// Returns the operator's document of the command.
boost::json::value to_json(const command& order);

/// Returns the command with its author and time, for the replicated log.
std::string encode(const command& order);

/// Parses an encoded command.
outcome<command> decode_command(std::string_view bytes);

/// Returns the result as a JSON object.
boost::json::value to_json(const command_result& result);

/// Parses a result written by to_json().
outcome<command_result> parse_result(const boost::json::value& document);

} // namespace limpet::config
