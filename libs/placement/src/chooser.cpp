#include <limpet/base/hash.hpp>
#include <limpet/placement/chooser.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace limpet::placement
{

namespace
{

/// Finaliser that spreads each bit of the input over the whole result.
std::uint64_t mix(std::uint64_t value) noexcept
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

/// Engines of one class with the highest draws, best first.
class best_draws
{
public:
    explicit best_draws(std::size_t count)
        : m_count(count)
    {
    }

    void add(std::uint64_t draw, engine_index engine) noexcept
    {
        if (m_size == m_count && draw <= m_draws[m_size - 1].first)
        {
            return;
        }
        std::size_t place = m_size < m_count ? m_size++ : m_size - 1;
        for (; place > 0 && m_draws[place - 1].first < draw; --place)
        {
            m_draws[place] = m_draws[place - 1];
        }
        m_draws[place] = {draw, engine};
    }

    std::size_t size() const noexcept
    {
        return m_size;
    }

    std::pair<std::uint64_t, engine_index> operator[](std::size_t place) const
    {
        return m_draws[place];
    }

private:
    std::size_t m_count;
    std::size_t m_size = 0;
    std::array<std::pair<std::uint64_t, engine_index>, max_candidates> m_draws;
};

/// Weighted rendezvous score of a draw; higher wins.
double score(std::uint64_t draw, double weight)
{
    constexpr double span = 18446744073709551616.0;
    const double unit = (static_cast<double>(draw) + 1.0) / span;
    const double bounded = std::min(unit, std::nextafter(1.0, 0.0));
    return -weight / std::log(bounded);
}

struct scored_engine
{
    double score = 0;
    engine_index engine = 0;
};

bool is_better(const scored_engine& left, const scored_engine& right)
{
    return left.score != right.score ? left.score > right.score
                                     : left.engine < right.engine;
}

} // namespace

chooser::chooser(const std::vector<engine_view>& engines)
{
    for (const engine_view& engine : engines)
    {
        if (engine.in_service && engine.weight > 0)
        {
            m_engines.push_back(engine);
        }
    }
    std::sort(m_engines.begin(),
              m_engines.end(),
              [](const engine_view& left, const engine_view& right)
              {
                  return left.id < right.id;
              });
    for (engine_index index = 0; index < m_engines.size(); ++index)
    {
        const engine_view& engine = m_engines[index];
        m_index.emplace(engine.id, index);
        auto place = std::find_if(m_classes.begin(),
                                  m_classes.end(),
                                  [&engine](const weight_class& item)
                                  {
                                      return item.weight == engine.weight;
                                  });
        if (place == m_classes.end())
        {
            m_classes.push_back({engine.weight, {}, {}, {}});
            place = std::prev(m_classes.end());
        }
        place->hashes.push_back(stable_hash(engine.id.get()));
        place->joined.push_back(engine.joined_at);
        place->engines.push_back(index);
    }
}

std::size_t chooser::size() const noexcept
{
    return m_engines.size();
}

const engine_view& chooser::engine(engine_index index) const
{
    return m_engines[index];
}

std::optional<engine_index> chooser::find(const engine_id& id) const
{
    const auto place = m_index.find(id);
    if (place == m_index.end())
    {
        return std::nullopt;
    }
    return place->second;
}

candidates chooser::choose(chat_key chat,
                           std::size_t count,
                           time_point settled_before) const
{
    const std::size_t wanted = std::min(count, max_candidates);
    std::vector<scored_engine> scored;
    scored.reserve(m_classes.size() * wanted);
    candidates result;
    scored_engine settled;
    for (const weight_class& item : m_classes)
    {
        best_draws best(wanted);
        best_draws oldest(1);
        for (std::size_t at = 0; at < item.hashes.size(); ++at)
        {
            const std::uint64_t draw = mix(item.hashes[at] ^ chat.get());
            best.add(draw, item.engines[at]);
            if (item.joined[at] <= settled_before)
            {
                oldest.add(draw, item.engines[at]);
            }
        }
        for (std::size_t at = 0; at < best.size(); ++at)
        {
            scored.push_back(
                {score(best[at].first, item.weight), best[at].second});
        }
        if (oldest.size() > 0)
        {
            const scored_engine first{score(oldest[0].first, item.weight),
                                      oldest[0].second};
            if (!result.settled || is_better(first, settled))
            {
                settled = first;
                result.settled = first.engine;
            }
        }
    }
    std::sort(scored.begin(), scored.end(), is_better);
    for (std::size_t at = 0; at < std::min(wanted, scored.size()); ++at)
    {
        result.order.push_back(scored[at].engine);
    }
    return result;
}

} // namespace limpet::placement
