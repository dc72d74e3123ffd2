/// \file
/// Passes the loads of the backend servers on between routers.

#pragma once

#include "content_meter.hpp"
#include "event_loop.hpp"

#include <limpet/directory/load_exchange.hpp>
#include <limpet/directory/update.hpp>
#include <limpet/wire/link_hub.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace limpet::control
{

/// Tells the routers that rely on this replica how many requests the others
/// have in flight at each server. Runs on one thread.
class load_feed
{
public:
    /// `replicas` returns the live replicas, with or without this one. `sent`
    /// counts the frames and outlives this object.
    load_feed(event_loop loop,
              std::shared_ptr<wire::link_hub> hub,
              content_meter& sent,
              std::function<std::vector<vm_id>()> replicas);

    /// Starts the periodic work. Call once.
    void start();

    void stop();

    /// Handles a frame that exchanges loads.
    void receive(const vm_id& from, const directory::update& frame);

    /// Handles the loss of the link to the peer.
    void on_lost(const vm_id& peer);

    directory::load_exchange& exchange() noexcept
    {
        return m_exchange;
    }

    /// Sends all peers what changed. Called at each interval.
    void send_loads();

private:
    void schedule();
    void send(const vm_id& to, directory::load_update loads);

    event_loop m_loop;
    std::shared_ptr<wire::link_hub> m_hub;
    content_meter& m_sent;
    std::function<std::vector<vm_id>()> m_replicas;
    directory::load_exchange m_exchange;
    /// Cleared by stop(); delayed calls hold it weakly.
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
};

} // namespace limpet::control
