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

/// Routers that may own engines of a data centre, best set first: ready ones,
/// else members that are not ready yet.
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

std::uint32_t choose(const candidates& from, const engine_id& engine)
{
    const auto key = stable_hash(engine.get());
    auto owner = engine_entry::no_router;
    std::uint64_t highest = 0;
    for (const auto& one : from)
    {
        const auto score = combine_hashes(key, one.key);
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
    std::ranges::sort(engines,
                      {},
                      [](const auto& engine)
                      {
                          return engine->server.engine;
                      });
    m_engines.reserve(engines.size());
    for (auto& engine : engines)
    {
        const auto index = static_cast<std::uint32_t>(m_engines.size());
        m_engine_index.emplace(engine->server.engine, index);
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
    for (auto& entry : m_engines)
    {
        const auto& server = entry.engine->server;
        entry.owner = choose(sets.of(server.data_centre), server.engine);
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
    const auto found = m_engine_index.find(engine);
    return found == m_engine_index.end() ? nullptr : &m_engines[found->second];
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
