/// \file
/// The operators' HTTP interface, without the HTTP.

#pragma once

#include <limpet/config/command.hpp>
#include <limpet/config/force_table.hpp>
#include <limpet/config/state_machine.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace limpet::config
{

/// What the interface needs of an operator's HTTP request.
struct api_request
{
    std::string method;
    /// Path and query.
    std::string target;
    /// Value of the Authorization header.
    std::string authorization;
    std::string body;
};

/// An HTTP answer with a JSON body.
struct api_response
{
    unsigned status = 200;
    boost::json::value body;
};

/// What the interface answers from. For one call only.
struct api_context
{
    const state_machine& state;
    const force_summary& force;
    /// Wall-clock time for the history.
    std::uint64_t now_unix_ms = 0;
    /// Digest of the token that may create the first operator; without one,
    /// any token may.
    std::optional<sha256_digest> first_token;
    /// Highest position that a router has in force, as heard by the
    /// publisher. While it is above the state's own, commands are refused as
    /// unavailable: either the log is not applied yet, or the group was
    /// restored from a backup and needs a new generation.
    std::optional<position> highest_heard;
};

/// Returns the answer, or a command that the caller commits and applies; the
/// answer is then response_to() of the result.
///
/// - `POST /v1/commands`: submits a command document.
/// - `GET /v1/operations/ID`: the answer to an operation.
/// - `GET /v1/objects`, `/v1/objects/KIND`, `/v1/objects/KIND/ID`: objects
///   with their revision and the operator of their last change; teams with
///   their parameters in force.
/// - `GET /v1/history?after=REVISION&limit=COUNT`: accepted changes.
/// - `GET /v1/in-force`: revisions in force in each data centre.
///
/// All need an operator's token as `Bearer TOKEN`. An operator scoped to a
/// partner sees that partner's objects and the shared ones.
std::variant<api_response, command> handle_operator(const api_request& request,
                                                    const api_context& context);

/// Returns the answer for the result of a command.
api_response response_to(const command_result& result);

/// Returns the answer for an error, `{"error": {"code", "message"}}`.
api_response response_to(const error& reason);

/// Returns the HTTP status of an error.
unsigned http_status_of(error_code code) noexcept;

} // namespace limpet::config
