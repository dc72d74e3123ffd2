/// \file
/// The order in which a request tries engines.

#pragma once

#include <limpet/placement/chat_directory.hpp>
#include <limpet/placement/chooser.hpp>

#include <optional>

namespace limpet::placement
{

/// How chats follow their caches.
struct route_settings
{
    /// How long after an engine joins its chats still go to the engine that
    /// was their first choice before.
    duration settling = std::chrono::minutes(10);
    /// Engines that a request tries before it queues at one of them.
    std::size_t tries = 5;
    /// Engines with room among them.
    std::size_t spare_tries = 2;
    /// Whether the first turn of a chat goes to an engine with room rather
    /// than to the chat's first rendezvous choice.
    bool spread_new_chats = true;
    /// How long a request without room anywhere waits at one engine before it
    /// looks again. Doubles with each round.
    duration first_round_wait = seconds(1);
};

/// What the entry router knows about a request when it places it.
struct route_request
{
    chat_key chat;
    /// False for the first turn of a chat, which no cache holds.
    bool returning = true;
    /// The engine that the caller's hint names.
    std::optional<engine_id> hint;
    /// How often the request has looked for an engine before.
    std::uint32_t round = 0;
};

/// The engines to try, in order.
struct route
{
    /// The first rendezvous choice.
    engine_index home = 0;
    engine_order order;
    /// Engines whose owners keep the chat's directory entry: the first two
    /// rendezvous choices and the settled first choice. When the first choice
    /// leaves or another engine joins, the next one asked still knows.
    engine_order keepers;
    /// Number of engines at the front of the order that may hold the chat.
    std::size_t warm = 0;
};

/// Returns the route of a request. The caller's hint comes first, then the
/// engine that was the chat's first choice before recent joins, then the
/// rendezvous order. The chooser must not be empty.
route plan_route(const chooser& engines,
                 const route_request& request,
                 const route_settings& settings,
                 time_point now);

/// Moves the chat's holders that are still in service with the same
/// incarnation to the front of the route, the longest prefix first, and
/// leaves out engines that were tried already.
engine_order prefer_holders(const chooser& engines,
                            const engine_order& order,
                            const chat_holders& holders,
                            const engine_order& tried);

} // namespace limpet::placement
