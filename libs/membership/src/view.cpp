#include <limpet/base/hash.hpp>
#include <limpet/membership/view.hpp>

#include <algorithm>

namespace limpet::membership
{

namespace
{

struct candidate
{
    std::uint32_t index;
    std::uint64_t key;
};

using candidates = std::vector<candidate>;

/// Routers that may own the engines of a data centre. The first of these sets
/// that is not empty is used: ready routers of the data centre, its other
/// members, ready routers of the region, all members of the region.
class candidate_sets
{
public:
    explicit candidate_sets(const std::vector<router_record>& routers)
    {
        for (std::uint32_t i = 0; i < routers.size(); ++i)
        {
            const auto& router = routers[i];
            const candidate one{i, stable_hash(router.self.vm.get())};
            auto& ready = router.ready ? m_ready : m_unready;
            ready[router.self.data_centre].push_back(one);
            (router.ready ? m_all_ready : m_all_unready).push_back(one);
        }
    }

    const candidates& of(const data_centre_id& data_centre) const
    {
        for (const auto* sets : {&m_ready, &m_unready})
        {
            const auto found = sets->find(data_centre);
            if (found != sets->end())
            {
                return found->second;
            }
        }
        return m_all_ready.empty() ? m_all_unready : m_all_ready;
    }

private:
    std::unordered_map<data_centre_id, candidates> m_ready;
    std::unordered_map<data_centre_id, candidates> m_unready;
    candidates m_all_ready;
    candidates m_all_unready;
};

/// Chooses an engine's owner by rendezvous hashing, so that a change of the
/// routers moves as few engines as possible.
std::uint32_t highest_scoring_router(const candidates& from,
                                     std::uint64_t engine)
{
    auto owner = engine_entry::no_router;
    std::uint64_t highest = 0;
    for (const auto& one : from)
    {
        const auto score = combine_hashes(engine, one.key);
        if (owner == engine_entry::no_router || score > highest)
        {
            owner = one.index;
            highest = score;
        }
    }
    return owner;
}

} // namespace

view::view(std::uint64_t version,
           std::vector<router_record> routers,
           std::vector<engine_ptr> engines)
    : m_version(version),
      m_routers(std::move(routers))
{
    std::ranges::sort(m_routers,
                      {},
                      [](const auto& router)
                      {
                          return router.self.vm;
                      });
    const auto key_of = [](const engine_ptr& engine)
    {
        return stable_hash(engine->server.engine.get());
    };
    if (!std::ranges::is_sorted(engines, {}, key_of))
    {
        std::ranges::sort(engines, {}, key_of);
    }
    m_engines.reserve(engines.size());
    m_keys.reserve(engines.size());
    for (auto& engine : engines)
    {
        const auto index = static_cast<std::uint32_t>(m_engines.size());
        m_keys.push_back(key_of(engine));
        for (const auto& model : engine->server.models)
        {
            m_models[model].push_back(index);
        }
        m_engines.push_back({std::move(engine)});
    }
    assign_owners();
}

void view::assign_owners()
{
    const candidate_sets sets(m_routers);
    for (std::size_t i = 0; i < m_engines.size(); ++i)
    {
        const auto& data_centre = m_engines[i].engine->server.data_centre;
        m_engines[i].owner =
            highest_scoring_router(sets.of(data_centre), m_keys[i]);
    }
}

const router_record* view::find_router(const vm_id& vm) const
{
    const auto found = std::ranges::lower_bound(m_routers,
                                                vm,
                                                {},
                                                [](const auto& router)
                                                {
                                                    return router.self.vm;
                                                });
    const bool known = found != m_routers.end() && found->self.vm == vm;
    return known ? &*found : nullptr;
}

const engine_entry* view::find_engine(const engine_id& engine) const
{
    const auto found =
        std::ranges::lower_bound(m_keys, stable_hash(engine.get()));
    if (found == m_keys.end())
    {
        return nullptr;
    }
    const auto& entry =
        m_engines[static_cast<std::size_t>(found - m_keys.begin())];
    return entry.engine->server.engine == engine ? &entry : nullptr;
}

const std::vector<std::uint32_t>& view::engines_of(const model_id& model) const
{
    static const std::vector<std::uint32_t> none;
    const auto found = m_models.find(model);
    return found == m_models.end() ? none : found->second;
}

const router_record* view::owner_of(const engine_id& engine) const
{
    const auto* entry = find_engine(engine);
    if (entry == nullptr || entry->owner == engine_entry::no_router)
    {
        return nullptr;
    }
    return &m_routers[entry->owner];
}

} // namespace limpet::membership
