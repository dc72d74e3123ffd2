/// \file
/// Sends the announcements and reports of one fake backend server.

#pragma once

#include "backend_server.hpp"

#include <limpet/base/random.hpp>
#include <limpet/http/client.hpp>
#include <limpet/standin/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpet::standin
{

/// Sends the announcements, load reports and cache events of one backend
/// server to the router that last accepted an announcement. If an
/// announcement fails, the next router is tried. The public functions are
/// thread-safe.
class announcer : public std::enable_shared_from_this<announcer>
{
public:
    /// The server's listen address and incarnation must be set.
    announcer(boost::asio::io_context& context,
              std::shared_ptr<http::client> client,
              std::shared_ptr<backend_server> source,
              const server_settings& server,
              const standin_settings& all);

    /// Starts the periodic announcements and reports.
    void start();

    /// Announces that the server is draining, waits until it has no request
    /// in progress, withdraws the announcement and calls the function.
    void drain(std::function<void()> on_drained);

    /// Stops all announcements and reports.
    void stop();

private:
    struct timestamped_load
    {
        time_point sampled_at;
        load_sample load;
    };

    // The first argument keeps the announcer alive while the coroutine runs.
    boost::asio::awaitable<void> announce_all(std::shared_ptr<announcer> owner);
    boost::asio::awaitable<void> report_load(std::shared_ptr<announcer> owner);
    boost::asio::awaitable<void> report_cache(std::shared_ptr<announcer> owner);
    boost::asio::awaitable<void>
    drain_and_withdraw(std::shared_ptr<announcer> owner,
                       std::function<void()> on_drained);
    boost::asio::awaitable<bool> announce();
    boost::asio::awaitable<bool> send(http::request message);
    boost::asio::awaitable<void> sleep(boost::asio::steady_timer& timer,
                                       duration time);
    std::string announcement() const;
    load_sample delayed_load(time_point now, duration lag);

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::shared_ptr<http::client> m_client;
    std::shared_ptr<backend_server> m_backend_server;
    const server_settings m_server;
    const std::vector<boost::asio::ip::tcp::endpoint> m_routers;
    const report_quality m_reports;
    duration m_renew_period;
    std::size_t m_router_index = 0;
    random_source m_random;
    boost::asio::steady_timer m_renew_timer;
    boost::asio::steady_timer m_load_timer;
    boost::asio::steady_timer m_cache_timer;
    boost::asio::steady_timer m_drain_timer;
    std::deque<timestamped_load> m_loads;
    std::uint64_t m_cache_sequence = 0;
    bool m_draining = false;
    bool m_stopped = false;
};

} // namespace limpet::standin
