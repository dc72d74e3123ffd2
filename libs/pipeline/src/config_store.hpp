/// \file
/// Receives the configuration and provides the version in force at this router.

#pragma once

#include <limpet/config/distribution_node.hpp>
#include <limpet/pipeline/router_settings.hpp>
#include <limpet/wire/link_hub.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace limpet::pipeline
{

/// Runs this router's node of the configuration distribution protocol over its
/// links. Thread-safe.
class config_store
{
public:
    config_store(const router_settings& settings,
                 std::uint64_t random_seed,
                 std::shared_ptr<wire::link_hub> hub,
                 std::function<void()> on_change);

    /// Returns the configuration in force, or null if none has been received.
    config::view_ptr get() const;

    /// Runs the protocol's timed actions.
    void tick(time_point now);

    /// Processes a frame of the config channel.
    void receive(const vm_id& from, std::string_view payload, time_point now);

    /// Sets the live routers of the data centre, excluding this one.
    void set_peers(std::vector<vm_id> peers);

private:
    void
    send_and_publish(const std::vector<config::outgoing_message>& messages);

    std::shared_ptr<wire::link_hub> m_hub;
    std::function<void()> m_on_change;
    data_centre_id m_data_centre;
    std::vector<vm_id> m_controls;
    mutable std::mutex m_mutex;
    config::distribution_node m_node;
    config::view_ptr m_view;
};

} // namespace limpet::pipeline
