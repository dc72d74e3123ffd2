#include "routing_table.hpp"

#include <algorithm>

namespace limpet::pipeline
{

namespace
{

/// Time after the router's start during which newly listed engines are
/// considered settled, because the router has no record of when they joined.
constexpr duration startup_period = seconds(30);
constexpr duration settled_age = std::chrono::hours(1);

} // namespace

routing_table::routing_table(time_point start)
    : m_start(start),
      m_models(std::make_shared<model_map>())
{
}

void routing_table::update(const membership_service::view_ptr& members,
                           const config::config_view& config,
                           time_point now)
{
    const std::lock_guard update_lock(m_update_mutex);
    std::unordered_map<model_id, std::vector<placement::engine_view>> lists;
    for (const membership::engine_entry& entry : members->engines())
    {
        const membership::engine_record& record = *entry.engine;
        placement::engine_view view;
        view.id = record.server.engine;
        view.run = record.server.started;
        view.data_centre = record.server.data_centre;
        view.slots = std::max<std::uint32_t>(1, record.server.slots);
        view.joined_at = joined_at(record, now);
        view.in_service = record.accepts_work() &&
                          entry.owner != membership::engine_entry::no_router &&
                          config.in_service(record.server.data_centre) &&
                          config.in_service(record.server.engine);
        for (const model_id& model : record.server.models)
        {
            lists[model].push_back(view);
        }
    }
    std::erase_if(m_first_seen,
                  [&members](const auto& item)
                  {
                      return members->find_engine(item.first) == nullptr;
                  });
    auto models = std::make_shared<model_map>();
    for (const auto& [model, engines] : lists)
    {
        models->emplace(model,
                        std::make_shared<const placement::chooser>(engines));
    }
    const std::lock_guard lock(m_mutex);
    m_models = std::move(models);
}

routing_table::chooser_ptr routing_table::find(const model_id& model) const
{
    std::shared_ptr<const model_map> models;
    {
        const std::lock_guard lock(m_mutex);
        models = m_models;
    }
    const auto found = models->find(model);
    return found == models->end() ? nullptr : found->second;
}

time_point routing_table::joined_at(const membership::engine_record& engine,
                                    time_point now)
{
    const bool starting_up = now - m_start < startup_period;
    const time_point joined = starting_up ? now - settled_age : now;
    const auto [known, added] = m_first_seen.try_emplace(
        engine.server.engine, first_seen{engine.server.started, joined});
    if (!added && known->second.run != engine.server.started)
    {
        known->second = {engine.server.started, joined};
    }
    return known->second.when;
}

} // namespace limpet::pipeline
