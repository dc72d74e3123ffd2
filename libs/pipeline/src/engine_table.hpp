/// \file
/// The engines that a router owns or owned.

#pragma once

#include "fleet.hpp"
#include "owned_engine.hpp"

#include <memory>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace limpet::pipeline
{

/// Keeps the engines and the load bounds of their models. Thread-safe.
class engine_table
{
public:
    explicit engine_table(std::shared_ptr<fleet> members);

    /// Returns the engine or null.
    owned_engine_ptr find(const engine_id& engine) const;

    /// Returns the engine, which is added if it is not known.
    owned_engine_ptr find_or_add(const membership::engine_record& record,
                                 time_point now);

    /// Returns all engines.
    std::vector<owned_engine_ptr> all() const;

    /// Takes the list of engines and the configuration after a change.
    void update(const membership::view& members,
                const config::view_ptr& config,
                time_point now);

    /// Takes the latest load sums into the bounds.
    void refresh_bounds(time_point now);

private:
    std::shared_ptr<model_bound> bound_of(const model_id& model);
    void forget_unused();

    std::shared_ptr<fleet> m_fleet;
    mutable std::shared_mutex m_mutex;
    std::unordered_map<engine_id, owned_engine_ptr> m_engines;
    std::unordered_map<model_id, std::shared_ptr<model_bound>> m_bounds;
    std::shared_ptr<const admission::share_table> m_shares;
    config::view_ptr m_config;
};

} // namespace limpet::pipeline
