/// \file
/// Sequence of engines that one request tries.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/placement/route.hpp>
#include <limpet/placement/spare_list.hpp>

#include <memory>

namespace limpet::placement
{

/// The next engine that a request tries.
struct stop
{
    engine_index engine = 0;
    /// Whether this is the request's first engine. Only then may the engine's
    /// owner redirect the request to an engine with a longer cached prefix.
    bool is_first = false;
    /// Whether all engines have been tried. The request then waits in this
    /// engine's queue for up to longest_wait before it starts another round
    /// with a new itinerary.
    bool is_last = false;
    duration longest_wait{};
};

/// Selects the engines for one request at its entry router: first the engines
/// that may hold the chat's prefix, then engines with reported free slots, then
/// the rendezvous order. If none accepts the request, the request queues at the
/// engine it tried first, whose cache is the most likely to hold the chat. Not
/// thread-safe.
class itinerary
{
public:
    /// `engines` must not be empty.
    itinerary(std::shared_ptr<const chooser> engines,
              const route_request& request,
              const route_settings& settings,
              time_point now);

    /// Returns the engine set to which engine indices refer.
    const chooser& engines() const noexcept;

    /// Returns the engines whose owners store the chat's directory entry.
    const engine_order& keepers() const noexcept;

    /// Returns whether the directory entries must be updated after `served_by`
    /// served this turn, because they do not list that engine first.
    bool is_news(const engine_id& served_by) const;

    /// Returns the next engine to try. After the last one, returns the last one
    /// again.
    stop next(spare_list& spares, random_source& random, time_point now);

    /// Returns the holder of the longest prefix that an owner has reported. The
    /// engine may be out of service, but it may still export its cache.
    const std::optional<chat_holder>& best_holder() const noexcept;

    /// Adds the prefix holders that an owner returned with a refusal.
    void add_holders(const chat_holders& holders);

private:
    std::optional<engine_index> next_cache_candidate() const;
    std::optional<engine_index> next_with_free_slots(spare_list& spares,
                                                     random_source& random,
                                                     time_point now);
    std::optional<engine_index> next_in_route_order() const;
    bool is_tried(engine_index engine) const;

    std::shared_ptr<const chooser> m_engines;
    route m_route;
    std::size_t m_spare_attempts_left;
    duration m_longest_wait;
    std::size_t m_attempts_left;
    engine_order m_cache_candidates;
    engine_order m_tried;
    /// The holder that the directory lists first.
    std::optional<chat_holder> m_best_holder;
};

/// Returns whether a holder other than `engine` has a prefix so much longer
/// that redirecting the request takes less time than the additional prefill.
bool is_better_elsewhere(const chat_holders& holders, const engine_id& engine);

/// Returns the length of the chat's prefix that the engine holds, 0 if it is
/// not among the holders.
token_count cached_at(const chat_holders& holders, const engine_id& engine);

} // namespace limpet::placement
