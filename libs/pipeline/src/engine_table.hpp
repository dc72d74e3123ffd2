/// \file
/// Engines that a router owns or owned.

#pragma once

#include "membership_service.hpp"
#include "owned_engine.hpp"

#include <memory>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace limpet::pipeline
{

/// Table of the engines and of their models' load bounds. Thread-safe.
class engine_table
{
public:
    explicit engine_table(std::shared_ptr<membership_service> members);

    /// Returns the engine, or null if it is not in the table.
    owned_engine_ptr find(const engine_id& engine) const;

    /// Returns the engine and adds it if it is not in the table.
    owned_engine_ptr find_or_add(const membership::engine_record& record,
                                 time_point now);

    /// Returns all engines.
    std::vector<owned_engine_ptr> all() const;

    /// Applies a changed engine list or configuration.
    void update(const membership::view& members,
                const config::view_ptr& config,
                time_point now);

    /// Updates the load bounds with the latest load sums.
    void refresh_bounds(time_point now);

private:
    std::shared_ptr<model_bound> find_or_add_bound(const model_id& model);
    void remove_unused();

    std::shared_ptr<membership_service> m_membership;
    mutable std::shared_mutex m_mutex;
    std::unordered_map<engine_id, owned_engine_ptr> m_engines;
    std::unordered_map<model_id, std::shared_ptr<model_bound>> m_bounds;
    std::shared_ptr<const admission::share_table> m_shares;
    config::view_ptr m_config;
};

} // namespace limpet::pipeline
