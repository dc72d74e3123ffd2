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

/// MurmurHash3 finaliser: each input bit affects all output bits.
std::uint64_t mix(std::uint64_t value) noexcept
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

/// The engines with the highest hashes within one weight class, best first.
class top_hashes
{
public:
    explicit top_hashes(std::size_t count)
        : m_count(count)
    {
    }

    void add(std::uint64_t hash, engine_index engine) noexcept
    {
        if (m_size == m_count && hash <= m_entries[m_size - 1].first)
        {
            return;
        }
        std::size_t position = m_size < m_count ? m_size++ : m_size - 1;
        for (; position > 0 && m_entries[position - 1].first < hash; --position)
        {
            m_entries[position] = m_entries[position - 1];
        }
        m_entries[position] = {hash, engine};
    }

    std::size_t size() const noexcept
    {
        return m_size;
    }

    std::pair<std::uint64_t, engine_index>
    operator[](std::size_t position) const
    {
        return m_entries[position];
    }

private:
    std::size_t m_count;
    std::size_t m_size = 0;
    std::array<std::pair<std::uint64_t, engine_index>, max_candidates>
        m_entries;
};

/// Returns the weighted rendezvous score of a hash; the highest score wins.
double score(std::uint64_t hash, double weight)
{
    constexpr double hash_range = 18446744073709551616.0;
    const double unit = (static_cast<double>(hash) + 1.0) / hash_range;
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
        auto found = std::find_if(m_classes.begin(),
                                  m_classes.end(),
                                  [&engine](const weight_class& item)
                                  {
                                      return item.weight == engine.weight;
                                  });
        if (found == m_classes.end())
        {
            m_classes.push_back({engine.weight, {}, {}, {}});
            found = std::prev(m_classes.end());
        }
        found->hashes.push_back(stable_hash(engine.id.get()));
        found->joined.push_back(engine.joined_at);
        found->engines.push_back(index);
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
    const auto found = m_index.find(id);
    if (found == m_index.end())
    {
        return std::nullopt;
    }
    return found->second;
}

candidates chooser::choose(chat_key chat,
                           std::size_t count,
                           time_point settled_before) const
{
    const std::size_t result_count = std::min(count, max_candidates);
    std::vector<scored_engine> scored;
    scored.reserve(m_classes.size() * result_count);
    candidates result;
    scored_engine settled;
    for (const weight_class& item : m_classes)
    {
        top_hashes best(result_count);
        top_hashes best_settled(1);
        for (std::size_t at = 0; at < item.hashes.size(); ++at)
        {
            const std::uint64_t hash = mix(item.hashes[at] ^ chat.get());
            best.add(hash, item.engines[at]);
            if (item.joined[at] <= settled_before)
            {
                best_settled.add(hash, item.engines[at]);
            }
        }
        for (std::size_t at = 0; at < best.size(); ++at)
        {
            scored.push_back(
                {score(best[at].first, item.weight), best[at].second});
        }
        if (best_settled.size() > 0)
        {
            const scored_engine first{score(best_settled[0].first, item.weight),
                                      best_settled[0].second};
            if (!result.settled || is_better(first, settled))
            {
                settled = first;
                result.settled = first.engine;
            }
        }
    }
    std::sort(scored.begin(), scored.end(), is_better);
    for (std::size_t at = 0; at < std::min(result_count, scored.size()); ++at)
    {
        result.order.push_back(scored[at].engine);
    }
    return result;
}

} // namespace limpet::placement
