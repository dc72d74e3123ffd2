/// \file
/// A small fleet within one process, for tests and benchmarks.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/http/client.hpp>
#include <limpet/standin/server_group.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace limpet::local_fleet
{

/// What the fleet consists of.
struct fleet_options
{
    /// Routers, each in a data centre of its own.
    std::size_t routers = 2;
    /// Behaviour of the engine in the last router's data centre.
    standin::engine_settings engine;
    /// Most open requests of the team.
    std::uint32_t max_open_requests = 64;
};

/// Routers, a control replica, one engine and one plain service, all real,
/// over the loopback interface. Each router has a thread of its own. The
/// engine "e1" stands in the last router's data centre, so that requests to
/// the first router cross an internal hop.
class local_fleet
{
public:
    /// Starts everything and waits until a chat is answered. Errors: io_error,
    /// timeout.
    static outcome<std::unique_ptr<local_fleet>>
    start(const fleet_options& options);

    virtual ~local_fleet() = default;

    /// Returns the address for callers of a router.
    virtual boost::asio::ip::tcp::endpoint
    callers(std::size_t router) const = 0;

    /// Returns the address for backend servers and metrics of a router.
    virtual boost::asio::ip::tcp::endpoint
    backends(std::size_t router) const = 0;

    /// Returns the processor time that a router's thread has taken.
    virtual duration processor_time(std::size_t router) const = 0;

    virtual standin::server_group& servers() = 0;

    /// Sends a request from a thread of the caller's and returns the answer.
    virtual std::variant<http::response, http::request_failure>
    fetch(const boost::asio::ip::tcp::endpoint& server,
          http::request message) = 0;

    /// Returns the context of the fleet's own client.
    virtual boost::asio::io_context& caller_context() = 0;
};

/// Names in the fleet's configuration.
inline constexpr std::string_view team_key = "local-team-key";
inline constexpr std::string_view engine_name = "e1";
inline constexpr std::string_view service_name = "s1";
inline constexpr std::string_view model_name = "forecast";

/// Returns a chat request with the team's key.
http::request make_chat(const std::string& chat, bool stream);

/// Returns a request to the plain service with the team's key.
http::request make_alert(const std::string& body);

} // namespace limpet::local_fleet
