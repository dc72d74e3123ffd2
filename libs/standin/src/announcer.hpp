/// \file
/// Announcements and reports of one fake backend server.

#pragma once

#include "backend.hpp"

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

/// Tells routers of one server: that it is there, its load and its cache
/// events, each to the router that last answered. The public functions are
/// thread-safe.
class announcer : public std::enable_shared_from_this<announcer>
{
public:
    /// The server's listen address and incarnation must be set.
    announcer(boost::asio::io_context& context,
              std::shared_ptr<http::client> client,
              std::shared_ptr<backend> source,
              const server_settings& server,
              const standin_settings& all);

    /// Begins to announce and report.
    void start();

    /// Announces that the server leaves, waits until it has no request in
    /// progress, withdraws it and calls the function.
    void drain(std::function<void()> on_drained);

    /// Ends all announcing.
    void stop();

private:
    struct timed_load
    {
        time_point when;
        load_sample load;
    };

    // Each coroutine keeps its announcer alive by the first argument.
    boost::asio::awaitable<void> announce_all(std::shared_ptr<announcer> owner);
    boost::asio::awaitable<void> report_load(std::shared_ptr<announcer> owner);
    boost::asio::awaitable<void> report_cache(std::shared_ptr<announcer> owner);
    boost::asio::awaitable<void> leave(std::shared_ptr<announcer> owner,
                                       std::function<void()> on_drained);
    boost::asio::awaitable<bool> announce();
    boost::asio::awaitable<bool> send(http::request message);
    boost::asio::awaitable<void> sleep(boost::asio::steady_timer& timer,
                                       duration time);
    std::string announcement() const;
    load_sample lagging_load(time_point now, duration lag);

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::shared_ptr<http::client> m_client;
    std::shared_ptr<backend> m_backend;
    const server_settings m_server;
    const std::vector<boost::asio::ip::tcp::endpoint> m_routers;
    const report_quality m_reports;
    duration m_renew_period;
    std::size_t m_router = 0;
    random_source m_random;
    boost::asio::steady_timer m_renew_timer;
    boost::asio::steady_timer m_load_timer;
    boost::asio::steady_timer m_cache_timer;
    boost::asio::steady_timer m_leave_timer;
    std::deque<timed_load> m_loads;
    std::uint64_t m_cache_sequence = 0;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace limpet::standin
