/// \file
/// Engines of each model for placing chats at this router.

#pragma once

#include "membership_service.hpp"

#include <limpet/config/config_view.hpp>
#include <limpet/placement/chooser.hpp>

#include <memory>
#include <mutex>
#include <unordered_map>

namespace limpet::pipeline
{

/// Rebuilds each model's chooser when the engine list or the configuration
/// changes. Thread-safe.
class routing_table
{
public:
    using chooser_ptr = std::shared_ptr<const placement::chooser>;

    /// `start` is the router's start time. Engines first listed shortly after
    /// it are considered settled.
    explicit routing_table(time_point start);

    /// Applies a changed engine list or configuration.
    void update(const membership_service::view_ptr& members,
                const config::config_view& config,
                time_point now);

    /// Returns the chooser for the model, or null if the model has no engines.
    chooser_ptr find(const model_id& model) const;

private:
    struct first_seen
    {
        incarnation run;
        time_point when;
    };
    using model_map = std::unordered_map<model_id, chooser_ptr>;

    time_point joined_at(const membership::engine_record& engine,
                         time_point now);

    time_point m_start;
    std::mutex m_update_mutex;
    std::unordered_map<engine_id, first_seen> m_first_seen;

    mutable std::mutex m_mutex;
    std::shared_ptr<const model_map> m_models;
};

} // namespace limpet::pipeline
