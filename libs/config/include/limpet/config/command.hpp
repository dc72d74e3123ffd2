/// \file
/// Configuration commands submitted by operators, and their results.

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

/// Creates the object or replaces all of its fields.
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
    /// Data centre of the backend server. Required if the configuration has no
    /// entry for the server yet.
    std::optional<data_centre_id> location;
};

using change = std::variant<put_object, remove_object, set_service>;

/// A command submitted by an operator. It is applied at most once, even if the
/// operator sends it several times.
struct command
{
    /// Idempotency key chosen by the operator. A command with an id that was
    /// already applied returns the result of the first application.
    operation_id operation;
    /// The authenticated operator. Set by the operator API, never read from
    /// the submitted document.
    operator_id author;
    std::uint64_t submitted_unix_ms = 0;
    /// Revision at which the object must have last changed (optimistic
    /// concurrency control); 0 if the object must not exist.
    revision expected;
    change what;
};

/// Result of a command that was applied.
struct accepted
{
    /// Revision of the configuration and of the object after the change.
    revision number;

    friend bool operator==(const accepted&, const accepted&) = default;
};

/// The most recent change to an object whose revision differs from the revision
/// that a command expected.
struct conflict_winner
{
    revision number;
    operator_id author;

    friend bool operator==(const conflict_winner&,
                           const conflict_winner&) = default;
};

/// Result of a command that was rejected and changed nothing.
struct rejected
{
    error_code code = error_code::internal;
    /// Invalid field of the command document; empty if the rejection does not
    /// concern a single field.
    std::string field;
    std::string reason;
    /// The conflicting change, if the code is error_code::conflict.
    std::optional<conflict_winner> winner;

    friend bool operator==(const rejected&, const rejected&) = default;
};

using command_result = std::variant<accepted, rejected>;

/// Returns the key of the object that the change applies to.
object_key target_of(const change& what);

/// Parses a command document submitted by an operator, such as
/// `{"operation": "op-1", "expected_revision": 0,
///   "put": {"kind": "partner", "id": "bureau"}}`.
/// Errors name the field and the reason; unknown fields are rejected.
outcome<command> parse_command(const boost::json::value& document);

/// Returns the command document, without author and submission time.
boost::json::value to_json(const command& order);

/// Encodes the command with its author and submission time for the replicated
/// log.
std::string encode(const command& order);

/// Parses a command written by encode().
outcome<command> decode_command(std::string_view bytes);

/// Returns the result as a JSON object.
boost::json::value to_json(const command_result& result);

/// Parses a result written by to_json().
outcome<command_result> parse_result(const boost::json::value& document);

} // namespace limpet::config
