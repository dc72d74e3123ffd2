/// \file
/// Runs the router's membership node over its links.

#pragma once

#include <limpet/membership/node.hpp>
#include <limpet/pipeline/router_settings.hpp>
#include <limpet/wire/link_hub.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace limpet::pipeline
{

/// Owns the membership node, sends its messages and publishes its view.
/// Thread-safe.
class membership_service
{
public:
    using view_ptr = std::shared_ptr<const membership::view>;

    /// Callbacks, called without locks held.
    struct handlers
    {
        /// Called when the list of routers or engines has changed.
        std::function<void(const view_ptr&)> on_view;
        std::function<void(const membership::ownership_changed&)> on_ownership;
        /// Called when a newer process of this VM is running, so that this
        /// process must stop.
        std::function<void()> on_superseded;
    };

    membership_service(const router_settings& settings,
                       incarnation started,
                       std::uint64_t random_seed,
                       time_point now);

    /// Sets the links and handlers. Must be called once, before any other
    /// function.
    void connect(std::shared_ptr<wire::link_hub> hub, handlers callbacks);

    /// Runs the node's timed actions.
    void tick(time_point now);

    /// Processes a frame of the membership channel.
    void receive(std::string_view payload, time_point now);

    outcome<membership::announce_result>
    announce(const membership::announcement& server, time_point now);

    /// Announces that this router is leaving. tick() must still be called
    /// afterwards.
    void leave(time_point now);

    void set_load(const engine_id& engine, const membership::engine_load& load);

    membership::ownership ownership_of(const engine_id& engine,
                                       time_point now) const;

    std::optional<membership::load_digest> load_of(const model_id& model,
                                                   time_point now) const;

    /// Returns whether the router has joined its peers.
    bool joined() const;

    /// Returns the latest view; never null.
    view_ptr view() const;

private:
    void execute_actions(membership::actions&& actions);
    void publish();

    mutable std::mutex m_mutex;
    membership::node m_node;
    view_ptr m_view;
    std::shared_ptr<wire::link_hub> m_hub;
    handlers m_handlers;
};

} // namespace limpet::pipeline
