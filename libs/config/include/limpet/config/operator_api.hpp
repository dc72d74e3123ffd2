/// \file
/// Request handlers of the operators' HTTP API, independent of the HTTP server.

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

/// The parts of an operator's HTTP request that the API uses.
struct api_request
{
    std::string method;
    /// Path and query.
    std::string target;
    /// Value of the Authorization header.
    std::string authorization;
    std::string body;
};

/// An HTTP response with a JSON body.
struct api_response
{
    unsigned status = 200;
    boost::json::value body;
};

/// State that a request is handled against. Valid for a single call.
struct api_context
{
    const state_machine& state;
    const force_summary& force;
    /// Wall-clock time, recorded as the submission time of commands.
    std::uint64_t now_unix_ms = 0;
    /// Digest of the token that authorizes the creation of the first operator.
    /// If absent, any token is accepted for it.
    std::optional<sha256_digest> first_token;
    /// Newest position that any router has reported to the publisher. While it
    /// is newer than the state's own position, commands are rejected with
    /// error_code::unavailable: either this replica has not applied its log
    /// yet, or the control group was restored from a backup and needs a new
    /// generation.
    std::optional<position> highest_heard;
};

/// Handles a request. Returns either the response, or a command that the caller
/// must commit and apply; the response is then response_to() of the result.
///
/// - `POST /v1/commands`: submits a command document.
/// - `GET /v1/operations/ID`: the result of an operation.
/// - `GET /v1/objects`, `/v1/objects/KIND`, `/v1/objects/KIND/ID`: objects
///   with their revision and the operator of their last change; teams with
///   their parameters in force.
/// - `GET /v1/history?after=REVISION&limit=COUNT`: accepted changes.
/// - `GET /v1/in-force`: revisions in force in each data centre.
///
/// Every request must present an operator's token as `Bearer TOKEN`. An
/// operator scoped to a partner can read that partner's objects and the shared
/// objects.
std::variant<api_response, command> handle_operator(const api_request& request,
                                                    const api_context& context);

/// Returns the response for the result of a command.
api_response response_to(const command_result& result);

/// Returns the response for an error, `{"error": {"code", "message"}}`.
api_response response_to(const error& reason);

/// Returns the HTTP status code for an error code.
unsigned http_status_of(error_code code) noexcept;

} // namespace limpet::config
