/// \file
/// Order in which a request tries engines.

#pragma once

#include <limpet/placement/chat_directory.hpp>
#include <limpet/placement/chooser.hpp>

#include <optional>

namespace limpet::placement
{

/// Parameters of cache-aware routing.
struct route_settings
{
    /// Time after an engine joins during which chats that hash to it are still
    /// routed to their previous first choice.
    duration settling = std::chrono::minutes(10);
    /// Number of engines that a request tries before it queues at one of them.
    std::size_t tries = 5;
    /// Number of these tries that may use an engine with reported free slots.
    std::size_t spare_tries = 2;
    /// Whether the first turn of a chat is routed to an engine with free slots
    /// instead of the chat's first rendezvous choice.
    bool spread_new_chats = true;
    /// Time that a request without a free slot waits in an engine's queue in
    /// the first round before it selects engines again. Doubles with each
    /// round.
    duration first_round_wait = seconds(1);
};

/// Properties of a request that determine its route.
struct route_request
{
    chat_key chat;
    /// False for the first turn of a chat, for which no engine has a cached
    /// prefix.
    bool returning = true;
    /// Engine named by the caller's placement hint.
    std::optional<engine_id> hint;
    /// Number of rounds of engine selection that the request has completed.
    std::uint32_t round = 0;
};

/// Engines to try, in order.
struct route
{
    /// The chat's first rendezvous choice.
    engine_index first_choice = 0;
    engine_order order;
    /// Engines whose owners store the chat's directory entry: the first two
    /// rendezvous choices and the settled first choice. If the first choice
    /// leaves or another engine joins, the new first choice's owner still has
    /// the entry.
    engine_order directory_engines;
    /// Number of engines at the front of the order that may hold the chat's
    /// prefix.
    std::size_t cache_candidate_count = 0;
};

/// Returns the route of a request: the engine of the caller's hint, then the
/// settled first choice, which was the chat's first choice before recent joins,
/// then the rendezvous order. `engines` must not be empty.
route plan_route(const chooser& engines,
                 const route_request& request,
                 const route_settings& settings,
                 time_point now);

/// Returns the order with the chat's holders moved to the front, longest prefix
/// first, and without the engines in `tried`. A holder is moved only if it is
/// in service with the same incarnation.
engine_order prefer_holders(const chooser& engines,
                            const engine_order& order,
                            const chat_holders& holders,
                            const engine_order& tried);

} // namespace limpet::placement
