/// \file
/// The engines that one request tries, stop by stop.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/placement/route.hpp>
#include <limpet/placement/spare_list.hpp>

#include <memory>

namespace limpet::placement
{

/// The next engine of a request.
struct stop
{
    engine_index engine = 0;
    /// The owner may answer that another engine holds more of the chat.
    bool is_first = false;
    /// No engine is left to try: the request waits here for longest_wait and
    /// then begins another round with a new itinerary.
    bool is_last = false;
    duration longest_wait{};
};

/// State of one request at its entry router while it looks for an engine:
/// first the engines that may hold its chat, then engines with room, then the
/// rendezvous order. What found no room waits where it was most likely warm.
/// Not thread-safe.
class itinerary
{
public:
    /// The chooser must not be empty.
    itinerary(std::shared_ptr<const chooser> engines,
              const route_request& request,
              const route_settings& settings,
              time_point now);

    /// Returns the set of engines that positions refer to.
    const chooser& engines() const noexcept;

    /// Returns the engines whose owners keep the chat's directory entry.
    const engine_order& keepers() const noexcept;

    /// Returns whether the keepers have to be told that the engine served
    /// this turn, because they would not name it first.
    bool is_news(const engine_id& served_by) const;

    /// Returns the next stop. After the last one it returns that again.
    stop next(spare_list& spares, random_source& random, time_point now);

    /// Returns the holder of the longest prefix that an owner told of, which
    /// may be out of service but still export its cache.
    const std::optional<chat_holder>& best_holder() const noexcept;

    /// Adds the holders that an owner told with its answer.
    void add_holders(const chat_holders& holders);

private:
    std::optional<engine_index> next_warm() const;
    std::optional<engine_index>
    next_spare(spare_list& spares, random_source& random, time_point now);
    std::optional<engine_index> next_in_order() const;
    bool is_tried(engine_index engine) const;

    std::shared_ptr<const chooser> m_engines;
    route m_route;
    std::size_t m_spares_left;
    duration m_longest_wait;
    std::size_t m_tries_left;
    engine_order m_warm;
    engine_order m_tried;
    /// The engine that the directory names first.
    std::optional<chat_holder> m_best_holder;
};

/// Returns whether one of the holders, other than the engine, holds so much
/// more of the chat that another hop is worth it.
bool is_better_elsewhere(const chat_holders& holders, const engine_id& engine);

/// Returns how much of the chat the engine holds, 0 if it is not a holder.
token_count cached_at(const chat_holders& holders, const engine_id& engine);

} // namespace limpet::placement
