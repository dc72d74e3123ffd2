#include <limpet/placement/itinerary.hpp>

#include <algorithm>
#include <utility>

namespace limpet::placement
{

namespace
{

/// Prefix length from which another hop costs less than its prefill.
constexpr std::uint64_t redirect_tokens = 64;

/// Rounds over which the wait doubles.
constexpr std::uint32_t most_doublings = 6;

} // namespace

itinerary::itinerary(std::shared_ptr<const chooser> engines,
                     const route_request& request,
                     const route_settings& settings,
                     time_point now)
    : m_engines(std::move(engines)),
      m_route(plan_route(*m_engines, request, settings, now)),
      m_spares_left(settings.spare_tries),
      m_longest_wait(settings.first_round_wait *
                     (1U << std::min(request.round, most_doublings))),
      m_tries_left(settings.tries)
{
    const bool is_spread = !request.returning && settings.spread_new_chats;
    if (!is_spread)
    {
        const std::size_t count = std::min(m_route.warm, m_route.order.size());
        m_warm.assign(m_route.order.begin(),
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
    return m_route.keepers;
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
    if (m_tries_left > 0 && m_tried.size() < m_tried.capacity())
    {
        --m_tries_left;
        engine = next_warm();
        engine = engine ? engine : next_spare(spares, random, now);
        engine = engine ? engine : next_in_order();
    }
    if (!engine)
    {
        const engine_index warmest = is_first ? m_route.home : m_tried.front();
        return {warmest, is_first, true, m_longest_wait};
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
    m_warm = prefer_holders(*m_engines, m_warm, holders, {});
}

std::optional<engine_index> itinerary::next_warm() const
{
    for (const engine_index engine : m_warm)
    {
        if (!is_tried(engine))
        {
            return engine;
        }
    }
    return std::nullopt;
}

std::optional<engine_index>
itinerary::next_spare(spare_list& spares, random_source& random, time_point now)
{
    while (m_spares_left > 0)
    {
        --m_spares_left;
        const auto id = spares.take(random.uniform(), now);
        const auto engine = id ? m_engines->find(*id) : std::nullopt;
        if (engine && !is_tried(*engine))
        {
            return engine;
        }
    }
    return std::nullopt;
}

std::optional<engine_index> itinerary::next_in_order() const
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
               cached_at(holders, engine).get() + redirect_tokens;
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
