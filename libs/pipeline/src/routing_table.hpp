/// \file
/// Engines of each model as this router places chats on them.

#pragma once

#include "fleet.hpp"

#include <limpet/config/config_view.hpp>
#include <limpet/placement/chooser.hpp>

#include <memory>
#include <mutex>
#include <unordered_map>

namespace limpet::pipeline
{

/// Builds each model's chooser anew when the list of engines or the
/// configuration changes. Thread-safe.
class routing_table
{
public:
    using chooser_ptr = std::shared_ptr<const placement::chooser>;

    /// Engines known before the settling time are taken as settled.
    explicit routing_table(time_point start);

    /// Takes the list of engines and the configuration after a change.
    void update(const fleet::view_ptr& members,
                const config::config_view& config,
                time_point now);

    /// Returns the engines of the model, or null if there are none.
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
    std::unordered_map<engine_id, first_seen> m_seen;

    mutable std::mutex m_mutex;
    std::shared_ptr<const model_map> m_models;
};

} // namespace limpet::pipeline
