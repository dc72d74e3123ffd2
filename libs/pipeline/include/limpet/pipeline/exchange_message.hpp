/// \file
/// Messages between the entry router of a request and the owner of the engine
/// that runs it.

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

/// Number of an exchange, unique for each start of its entry router.
using exchange_id = strong_type<struct exchange_id_tag, std::uint64_t>;

/// Asks the owner to run a request on an engine.
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
    /// Whether this is the request's first try, which may be sent on to an
    /// engine that holds more of the chat.
    bool is_first = false;
    /// Whether the entry router has another engine to try. Otherwise the
    /// request waits here.
    bool may_go_elsewhere = true;
    /// Time left until the caller's deadline.
    duration deadline{};
    /// Longest time the request may wait in this owner's queue.
    duration queue_time{};
    /// Time after which a request that has no other engine to try is sent
    /// back for another round.
    duration longest_wait{};
    /// Last event that the caller has, 0 for none.
    std::uint64_t resume_after = 0;
    http::request call;
};

/// Status and header fields of the engine's answer.
struct head_message
{
    std::uint32_t sequence = 0;
    http::response_head head;
};

/// Part of the answer's body. Streams are cut only between events.
struct part_message
{
    std::uint32_t sequence = 0;
    /// Id of the last event in the part, 0 without.
    std::uint64_t last_event = 0;
    std::string bytes;
};

/// How an exchange ended.
enum class finish_result : std::uint8_t
{
    complete, ///< The whole answer was sent.
    not_run,  ///< The request has certainly not reached the engine.
    broken,   ///< The request may have run; the answer is not whole.
};

/// An engine that holds a chat's prefix in its cache.
struct chat_hint
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
    /// Time after which another try makes sense, zero if unknown.
    duration retry_after{};
    /// Engines that hold the chat, if the request was not run.
    std::vector<chat_hint> holders;
};

/// Tells a keeper of the chat's directory entry which engine served it.
struct placed_message
{
    team_id team;
    chat_id chat;
    chat_hint held;
};

/// Passes a backend server's load report on to the server's owner.
struct load_message
{
    engine_id engine;
    incarnation run;
    std::uint32_t in_flight = 0;
    token_count cached;
};

/// Allows the owner to send this many further bytes.
struct credit_message
{
    std::uint32_t bytes = 0;
};

/// Ends the exchange; the caller has gone.
struct cancel_message
{
};

/// Asks what became of the exchange after a link was lost. An owner that has
/// never seen it refuses it from then on.
struct query_message
{
    /// Process that the request was sent to.
    incarnation sent_to;
};

/// What an owner knows of an exchange.
enum class exchange_state : std::uint8_t
{
    refused,  ///< Never dispatched and never will be by this process.
    running,  ///< Was received and has not ended.
    finished, ///< Was received and has ended.
    unknown,  ///< Nothing can be said of it.
};

/// Answer to a query.
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
                                      load_message>;

/// One message of an exchange.
struct exchange_message
{
    exchange_id exchange;
    exchange_content content;
};

/// Returns the message's frame payload.
std::string encode(const exchange_message& message);

/// Parses a frame payload. Errors: malformed.
outcome<exchange_message> decode_exchange_message(std::string_view payload);

} // namespace limpet::pipeline
