#include "direct_placement.hpp"

#include <limpet/base/hash.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::bench
{

namespace
{

std::uint64_t draw(const turn& request, std::uint32_t engine)
{
    return combine_hashes(request.chat, engine);
}

} // namespace

direct_placement::direct_placement(direct_kind kind,
                                   fleet& engines,
                                   std::uint32_t routers,
                                   std::uint64_t seed)
    : m_kind(kind),
      m_fleet(engines),
      m_routers(routers),
      m_random(seed),
      m_own(routers),
      m_own_total(routers)
{
    engines_changed();
}

void direct_placement::arrive(const turn& request)
{
    m_fleet.arrive(request);
    m_waiting.push_back(request);
    start_waiting();
}

void direct_placement::engines_changed()
{
    m_eligible.clear();
    const auto& engines = m_fleet.engines();
    for (std::uint32_t at = 0; at < engines.size(); ++at)
    {
        if (engines[at].eligible())
        {
            m_eligible.push_back(at);
        }
    }
    for (auto& own : m_own)
    {
        own.resize(engines.size());
    }
}

void direct_placement::start_waiting()
{
    while (!m_waiting.empty() && try_start(m_waiting.front()))
    {
        m_waiting.pop_front();
    }
}

bool direct_placement::try_start(const turn& request)
{
    const auto router = static_cast<std::uint32_t>(m_random.below(m_routers));
    const std::optional<std::uint32_t> engine = choose(request, router);
    if (!engine)
    {
        return false;
    }
    ++m_own[router][*engine];
    ++m_own_total[router];
    m_fleet.start(
        *engine,
        request,
        std::nullopt,
        [] {},
        [this, router, engine = *engine](std::uint64_t, bool)
        {
            --m_own[router][engine];
            --m_own_total[router];
            start_waiting();
        });
    return true;
}

std::optional<std::uint32_t> direct_placement::choose(const turn& request,
                                                      std::uint32_t router)
{
    switch (m_kind)
    {
    case direct_kind::random:
        return m_eligible[m_random.below(m_eligible.size())];
    case direct_kind::least_loaded:
        return choose_least();
    case direct_kind::rendezvous:
        return *std::max_element(m_eligible.begin(),
                                 m_eligible.end(),
                                 [&](std::uint32_t left, std::uint32_t right)
                                 {
                                     return draw(request, left) <
                                            draw(request, right);
                                 });
    case direct_kind::alone_bounded:
        return choose_alone(request, router);
    case direct_kind::greedy:
        return choose_greedy(request);
    }
    return std::nullopt;
}

std::optional<std::uint32_t>
direct_placement::choose_greedy(const turn& request) const
{
    const std::uint32_t bound = m_fleet.true_bound();
    const auto& engines = m_fleet.engines();
    std::optional<std::uint32_t> best;
    std::uint32_t best_cached = 0;
    for (const std::uint32_t at : m_eligible)
    {
        if (engines[at].in_flight >= bound)
        {
            continue;
        }
        const std::uint32_t cached = engines[at].cache.find(request.chat);
        const bool is_better =
            !best || cached > best_cached ||
            (cached == best_cached &&
             engines[at].in_flight < engines[*best].in_flight);
        if (is_better)
        {
            best = at;
            best_cached = cached;
        }
    }
    return best;
}

std::optional<std::uint32_t> direct_placement::choose_least() const
{
    const auto& engines = m_fleet.engines();
    return *std::min_element(m_eligible.begin(),
                             m_eligible.end(),
                             [&](std::uint32_t left, std::uint32_t right)
                             {
                                 return engines[left].in_flight <
                                        engines[right].in_flight;
                             });
}

std::optional<std::uint32_t>
direct_placement::choose_alone(const turn& request, std::uint32_t router)
{
    const double mean = static_cast<double>(m_own_total[router] + 1) /
                        static_cast<double>(m_eligible.size());
    const double bound = std::ceil(m_fleet.model().load_multiple * mean);
    std::optional<std::uint32_t> best;
    for (const std::uint32_t at : m_eligible)
    {
        if (m_own[router][at] + 1 > bound)
        {
            continue;
        }
        if (!best || draw(request, at) > draw(request, *best))
        {
            best = at;
        }
    }
    return best;
}

} // namespace limpet::bench
