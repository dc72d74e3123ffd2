#include <limpet/placement/itinerary.hpp>

#include <algorithm>
#include <utility>

namespace limpet::placement
{

namespace
{

/// Minimum gain in cached prefix length for which a redirect takes less time
/// than the prefill it saves.
constexpr std::uint64_t min_redirect_gain_tokens = 64;

/// Maximum number of times that the wait doubles.
constexpr std::uint32_t max_wait_doublings = 6;

} // namespace

itinerary::itinerary(std::shared_ptr<const chooser> engines,
                     const route_request& request,
                     const route_settings& settings,
                     time_point now)
    : m_engines(std::move(engines)),
      m_route(plan_route(*m_engines, request, settings, now)),
      m_spare_attempts_left(settings.spare_tries),
      m_longest_wait(settings.first_round_wait *
                     (1U << std::min(request.round, max_wait_doublings))),
      m_attempts_left(settings.tries)
{
    const bool spreads_chat = !request.returning && settings.spread_new_chats;
    if (!spreads_chat)
    {
        const std::size_t count =
            std::min(m_route.cache_candidate_count, m_route.order.size());
        m_cache_candidates.assign(m_route.order.begin(),
                                  m_route.order.begin() +
                                      static_cast<std::ptrdiff_t>(count));
    }
}

const chooser& itinerary::engines() const noexcept
{
    return *m_engines;
}

const engine_order& itinerary::keepers() const noexcept
{
    return m_route.directory_engines;
}

bool itinerary::is_news(const engine_id& served_by) const
{
    return !m_best_holder || m_best_holder->engine != served_by;
}

const std::optional<chat_holder>& itinerary::best_holder() const noexcept
{
    return m_best_holder;
}

stop itinerary::next(spare_list& spares, random_source& random, time_point now)
{
    const bool is_first = m_tried.empty();
    std::optional<engine_index> engine;
    if (m_attempts_left > 0 && m_tried.size() < m_tried.capacity())
    {
        --m_attempts_left;
        engine = next_cache_candidate();
        engine = engine ? engine : next_with_free_slots(spares, random, now);
        engine = engine ? engine : next_in_route_order();
    }
    if (!engine)
    {
        const engine_index preferred =
            is_first ? m_route.first_choice : m_tried.front();
        return {preferred, is_first, true, m_longest_wait};
    }
    m_tried.push_back(*engine);
    return {*engine, is_first, false, {}};
}

void itinerary::add_holders(const chat_holders& holders)
{
    if (!holders.empty())
    {
        m_best_holder = holders.front();
    }
    m_cache_candidates =
        prefer_holders(*m_engines, m_cache_candidates, holders, {});
}

std::optional<engine_index> itinerary::next_cache_candidate() const
{
    for (const engine_index engine : m_cache_candidates)
    {
        if (!is_tried(engine))
        {
            return engine;
        }
    }
    return std::nullopt;
}

std::optional<engine_index> itinerary::next_with_free_slots(
    spare_list& spares, random_source& random, time_point now)
{
    while (m_spare_attempts_left > 0)
    {
        --m_spare_attempts_left;
        const auto id = spares.take(random.uniform(), now);
        const auto engine = id ? m_engines->find(*id) : std::nullopt;
        if (engine && !is_tried(*engine))
        {
            return engine;
        }
    }
    return std::nullopt;
}

std::optional<engine_index> itinerary::next_in_route_order() const
{
    for (const engine_index engine : m_route.order)
    {
        if (!is_tried(engine))
        {
            return engine;
        }
    }
    return std::nullopt;
}

bool itinerary::is_tried(engine_index engine) const
{
    return std::find(m_tried.begin(), m_tried.end(), engine) != m_tried.end();
}

bool is_better_elsewhere(const chat_holders& holders, const engine_id& engine)
{
    return !holders.empty() && holders.front().engine != engine &&
           holders.front().tokens.get() >=
               cached_at(holders, engine).get() + min_redirect_gain_tokens;
}

token_count cached_at(const chat_holders& holders, const engine_id& engine)
{
    for (const chat_holder& holder : holders)
    {
        if (holder.engine == engine)
        {
            return holder.tokens;
        }
    }
    return token_count(0);
}

} // namespace limpet::placement
