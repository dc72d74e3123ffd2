/// \file
/// Messages between the entry router of a request and the router that owns the
/// engine that runs it.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/http/message.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpet::pipeline
{

/// Id of an exchange, unique within one run of its entry router's process.
using exchange_id = strong_type<struct exchange_id_tag, std::uint64_t>;

/// Requests that the owner run a request on an engine.
struct open_message
{
    request_id request;
    engine_id engine;
    partner_id partner;
    team_id team;
    chat_id chat;
    model_id model;
    std::uint8_t priority = 0;
    std::uint32_t cost_tokens = 0;
    bool repeatable = false;
    bool stream = false;
    /// Whether this is the request's first attempt. Only a first attempt may be
    /// redirected to an engine that holds a longer prefix of the chat.
    bool is_first = false;
    /// Whether the entry router has another engine to try. If not, the request
    /// waits in this owner's queue.
    bool may_go_elsewhere = true;
    /// Remaining time until the caller's deadline.
    duration deadline{};
    /// Maximum time that the request may wait in this owner's queue.
    duration queue_time{};
    /// Maximum wait in the queue of a request without another engine to try,
    /// after which it is returned to the entry router for another round.
    duration longest_wait{};
    /// Id of the last event that the caller has received, 0 for none.
    std::uint64_t resume_after = 0;
    http::request call;
};

/// Requests that the receiver serve a request in the place of a router that
/// reaches no server: it chooses the server as for its own callers.
struct hand_over_message
{
    /// Remaining time until the caller's deadline.
    duration time_left{};
    /// The request as the caller sent it.
    http::request call;
};

/// Status and header fields of the engine's response.
struct head_message
{
    std::uint32_t sequence = 0;
    http::response_head head;
    /// Of a handed-over request: whether the response has a length, so that the
    /// caller gets it in one piece.
    bool is_whole = false;
};

/// Part of the response body. Event streams are split only between events.
struct part_message
{
    std::uint32_t sequence = 0;
    /// Id of the last event in the part, 0 if there is none.
    std::uint64_t last_event = 0;
    std::string bytes;
};

/// Result of an exchange.
enum class finish_result : std::uint8_t
{
    complete, ///< The complete response was sent.
    not_run,  ///< The request has definitely not reached the engine.
    broken,   ///< The request may have run; the response is incomplete.
};

/// An engine whose cache holds a prefix of a chat.
struct prefix_holder
{
    engine_id engine;
    incarnation run;
    token_count tokens;
};

/// Last message of an exchange.
struct finish_message
{
    std::uint32_t sequence = 0;
    finish_result result = finish_result::broken;
    error reason;
    /// Time after which a retry is useful, zero if unknown.
    duration retry_after{};
    /// Engines that hold a prefix of the chat, if the request was not run.
    std::vector<prefix_holder> holders;
};

/// Informs an owner that stores the chat's directory entry which engine served
/// the chat.
struct placed_message
{
    team_id team;
    chat_id chat;
    prefix_holder holder;
};

/// Forwards a backend server's load report to its owner.
struct load_message
{
    engine_id engine;
    incarnation run;
    std::uint32_t in_flight = 0;
    token_count cached;
};

/// Flow control: allows the owner to send this many more bytes.
struct credit_message
{
    std::uint32_t bytes = 0;
};

/// Cancels the exchange because the caller has disconnected or its deadline has
/// passed.
struct cancel_message
{
};

/// Queries the state of the exchange, for example after a lost link. An owner
/// that has not received the exchange refuses it from then on.
struct query_message
{
    /// Incarnation of the process that the request was sent to.
    incarnation sent_to;
};

/// State of an exchange as recorded by the owner.
enum class exchange_state : std::uint8_t
{
    refused,  ///< Not dispatched, and this process will not dispatch it.
    running,  ///< Received and not ended.
    finished, ///< Received and ended.
    unknown,  ///< The owner cannot determine the state.
};

/// Reply to a query.
struct state_message
{
    exchange_state value = exchange_state::running;
};

using exchange_content = std::variant<open_message,
                                      head_message,
                                      part_message,
                                      finish_message,
                                      credit_message,
                                      cancel_message,
                                      query_message,
                                      state_message,
                                      placed_message,
                                      load_message,
                                      hand_over_message>;

/// One message of an exchange.
struct exchange_message
{
    exchange_id exchange;
    exchange_content content;
};

/// Returns the message encoded as a frame payload.
std::string encode(const exchange_message& message);

/// Decodes a frame payload. Errors: malformed.
outcome<exchange_message> decode_exchange_message(std::string_view payload);

} // namespace limpet::pipeline
