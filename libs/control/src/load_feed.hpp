/// \file
/// Passes the loads of the backend servers on between routers.

#pragma once

#include <limpet/directory/update.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace limpet::control
{

/// Sends the routers that rely on this replica the loads that other routers
/// were told, also by way of the other replicas. Runs on one thread.
class load_feed
{
public:
    /// `replicas` returns the live replicas, with or without this one.
    load_feed(boost::asio::io_context& context,
              std::shared_ptr<wire::link_hub> hub,
              std::function<std::vector<vm_id>()> replicas);

    /// Starts the periodic work. Call once.
    void start();

    void stop();

    /// Handles a frame that exchanges loads.
    void receive(const vm_id& from, const directory::update& frame);

    /// Sends all receivers what they have not been sent. Called at each period.
    void send_loads();

private:
    void schedule();
    void send(const vm_id& to, std::vector<directory::load_report> loads);

    boost::asio::steady_timer m_timer;
    std::shared_ptr<wire::link_hub> m_hub;
    std::function<std::vector<vm_id>()> m_replicas;
    directory::load_exchange m_exchange;
    bool m_stopped = false;
};

} // namespace limpet::control
