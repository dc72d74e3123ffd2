/// \file
/// State that the entry router's filters determine for one request.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/config/config_view.hpp>
#include <limpet/http/server.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace limpet::pipeline
{

/// Execution outcome of a request when its response ends.
enum class run_outcome
{
    complete, ///< The request ran and the response is complete.
    not_run,  ///< The request has definitely not run.
    unknown   ///< The request may have run.
};

/// Returns the value of the Limpet-Outcome header field.
std::string_view to_string(run_outcome value) noexcept;

/// A chat completion request.
struct chat_call
{
    bool stream = false;
};

/// A request to a service other than chat completions.
struct service_call
{
    std::string service;
};

/// Response to a request that the router refuses.
struct refusal
{
    error reason;
    run_outcome outcome = run_outcome::not_run;
    /// Time after which the caller may retry, zero if a retry is not useful.
    duration retry_after{};
};

using filter_result = std::variant<std::monostate, refusal>;

/// State of one request while the entry router processes it.
struct request_context
{
    request_context(http::exchange& caller_exchange, request_id request)
        : caller(caller_exchange),
          id(std::move(request))
    {
    }

    http::exchange& caller;
    request_id id;
    time_point received_at{};
    time_point deadline{};

    /// Configuration in force when the request arrived.
    config::view_ptr config;
    partner_id partner;
    team_id team;
    std::uint32_t max_open_requests = 0;

    std::variant<chat_call, service_call> call;
    /// Model or service that handles the request.
    model_id model;
    chat_id chat;
    /// Whether the caller provided a chat id, so that the chat may have earlier
    /// turns.
    bool returning = false;
    std::optional<engine_id> placement_hint;
    bool repeatable = false;
    /// Priority of the request; 0 is the highest.
    std::uint8_t priority = 0;
    std::uint32_t prompt_tokens = 0;
    duration queue_time{};
    /// Time after which the request is refused if it has not started to run.
    time_point queue_until{};
    std::optional<idempotency_key> key;
    /// Id of the event after which the caller resumes a stream, 0 for none.
    std::uint64_t resume_after = 0;

    /// Request that is forwarded to the engine.
    http::request forwarded;

    /// Set by the filters.
    bool admitted = false;
    bool claimed = false;

    /// Result for settlement, metrics and logs.
    run_outcome outcome = run_outcome::not_run;
    unsigned status = 0;
    engine_id engine;
    std::uint32_t attempts = 0;
    std::uint64_t events = 0;
    std::optional<duration> first_token;
};

} // namespace limpet::pipeline
