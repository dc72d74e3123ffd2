/// \file
/// What the filters of the entry router learn about one request.

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

/// What is certain about a request when its answer ends.
enum class run_outcome
{
    complete, ///< It ran and the answer is whole.
    not_run,  ///< It has certainly not run.
    unknown   ///< It may have run.
};

/// Returns the value of the Limpet-Outcome field.
std::string_view to_string(run_outcome value) noexcept;

/// A chat completion.
struct chat_call
{
    bool stream = false;
};

/// A request to a plain service.
struct service_call
{
    std::string service;
};

/// Answer to a request that a filter ends.
struct refusal
{
    error reason;
    run_outcome outcome = run_outcome::not_run;
    /// Time after which the caller may try again, zero if trying again does
    /// not help.
    duration retry_after{};
};

using filter_result = std::variant<std::monostate, refusal>;

/// State of one request on its way through the filters.
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

    /// Configuration in force when the request came.
    config::view_ptr config;
    partner_id partner;
    team_id team;
    std::uint32_t max_open_requests = 0;

    std::variant<chat_call, service_call> call;
    /// Model or service that serves the request.
    model_id model;
    chat_id chat;
    /// Whether the caller named the chat, so that it may return.
    bool returning = false;
    std::optional<engine_id> placement_hint;
    bool repeatable = false;
    /// 0 goes first.
    std::uint8_t priority = 0;
    std::uint32_t prompt_tokens = 0;
    duration queue_time{};
    /// Time after which the request is refused unless it runs.
    time_point queue_until{};
    std::optional<idempotency_key> key;
    /// Event after which the caller resumes a stream.
    std::uint64_t resume_after = 0;

    /// Request to the engine.
    http::request forwarded;

    /// Set while the filters run.
    bool admitted = false;
    bool claimed = false;

    /// Result, for settling, metrics and logs.
    run_outcome outcome = run_outcome::not_run;
    unsigned status = 0;
    engine_id engine;
    std::uint32_t attempts = 0;
    std::uint64_t events = 0;
    std::optional<duration> first_token;
};

} // namespace limpet::pipeline
