/// \file
/// Distributes the configuration to routers and tracks which routers have it in
/// force.

#pragma once

#include "control_state.hpp"

#include <limpet/config/config_publisher.hpp>
#include <limpet/config/force_table.hpp>
#include <limpet/wire/link_hub.hpp>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace limpet::control
{

/// Distributes the configuration that this replica has applied. Not
/// thread-safe.
class config_source
{
public:
    /// The state must outlive the source.
    config_source(const control_state& state,
                  std::shared_ptr<wire::link_hub> hub);

    /// Handles a frame of the config channel.
    void receive(const vm_id& from, std::string_view payload, time_point now);

    /// Sends subscribers the changes that they have not received. Call after
    /// each change.
    void publish(time_point now);

    /// Returns a summary of the positions that routers have in force.
    config::force_summary force(time_point now) const;

    /// Returns the highest position that a router reported to have in force.
    const std::optional<config::position>& highest_heard() const;

private:
    config::served_config served() const;
    void send(const std::vector<config::outgoing_message>& messages);

    const control_state& m_state;
    std::shared_ptr<wire::link_hub> m_hub;
    config::config_publisher m_publisher;
    config::force_table m_force;
};

} // namespace limpet::control
