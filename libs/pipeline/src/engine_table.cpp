#include "engine_table.hpp"

#include <chrono>
#include <mutex>

namespace limpet::pipeline
{

namespace
{

constexpr double full_percent = 100.0;

model_id first_model(const membership::engine_record& record)
{
    return record.server.models.empty() ? model_id()
                                        : record.server.models.front();
}

/// Returns the time of the VMs' wall clock, from which load epochs are derived.
duration common_clock()
{
    return std::chrono::duration_cast<duration>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::shared_ptr<const admission::share_table>
make_shares(const config::config_view& view)
{
    auto table = std::make_shared<admission::share_table>();
    view.objects<config::partner>().for_each(
        [&table](const config::stored<config::partner>& item)
        {
            const config::partner& partner = item.value;
            table->partners[partner.id] = partner.share / full_percent;
            if (partner.guaranteed_percent > 0)
            {
                table->guarantees[partner.id] =
                    partner.guaranteed_percent / full_percent;
            }
        });
    view.objects<config::team>().for_each(
        [&table, &view](const config::stored<config::team>& item)
        {
            table->teams[item.value.id] =
                view.parameters_of(item.value).share() / full_percent;
        });
    return table;
}

} // namespace

engine_table::engine_table(std::shared_ptr<membership_service> members)
    : m_membership(std::move(members)),
      m_shares(std::make_shared<admission::share_table>()),
      m_config(std::make_shared<config::config_view>())
{
}

owned_engine_ptr engine_table::find(const engine_id& engine) const
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : found->second;
}

owned_engine_ptr
engine_table::find_or_add(const membership::engine_record& record,
                          time_point now)
{
    if (owned_engine_ptr known = find(record.server.engine))
    {
        return known;
    }
    owned_engine_ptr engine;
    {
        const std::unique_lock lock(m_mutex);
        owned_engine_ptr& slot = m_engines[record.server.engine];
        if (!slot)
        {
            slot = std::make_shared<owned_engine>(
                record, find_or_add_bound(first_model(record)));
            slot->queue.set_shares(m_shares);
            slot->update(&record, *m_config, now);
        }
        engine = slot;
    }
    refresh_bounds(now);
    return engine;
}

std::vector<owned_engine_ptr> engine_table::all() const
{
    std::vector<owned_engine_ptr> engines;
    const std::shared_lock lock(m_mutex);
    engines.reserve(m_engines.size());
    for (const auto& [id, engine] : m_engines)
    {
        engines.push_back(engine);
    }
    return engines;
}

void engine_table::update(const membership::view& members,
                          const config::view_ptr& config,
                          time_point now)
{
    const auto shares = make_shares(*config);
    {
        const std::unique_lock lock(m_mutex);
        m_shares = shares;
        m_config = config;
    }
    for (const owned_engine_ptr& engine : all())
    {
        const std::lock_guard lock(engine->mutex);
        const auto* entry = members.find_engine(engine->record.server.engine);
        engine->queue.set_shares(shares);
        engine->update(
            entry == nullptr ? nullptr : entry->engine.get(), *config, now);
    }
    remove_unused();
}

void engine_table::refresh_bounds(time_point now)
{
    const vm_id region_sum("region");
    const duration common = common_clock();
    const std::shared_lock lock(m_mutex);
    for (const auto& [model, bound] : m_bounds)
    {
        const auto load = m_membership->load_of(model, now);
        const std::lock_guard bound_lock(bound->mutex);
        if (load)
        {
            bound->bound.set_engines(load->eligible);
            bound->bound.report(region_sum,
                                {placement::epoch_of(common - load->age),
                                 load->eligible,
                                 load->in_flight});
        }
        bound->bound.advance(placement::epoch_of(common));
    }
}

std::shared_ptr<model_bound>
engine_table::find_or_add_bound(const model_id& model)
{
    std::shared_ptr<model_bound>& slot = m_bounds[model];
    if (!slot)
    {
        slot = std::make_shared<model_bound>();
    }
    return slot;
}

void engine_table::remove_unused()
{
    const std::unique_lock lock(m_mutex);
    std::erase_if(m_engines,
                  [](const auto& item)
                  {
                      const std::lock_guard engine_lock(item.second->mutex);
                      return item.second->is_unused();
                  });
}

} // namespace limpet::pipeline
