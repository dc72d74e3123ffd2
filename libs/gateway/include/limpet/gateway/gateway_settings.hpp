/// \file
/// Settings of a gateway.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/log.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <optional>
#include <vector>

namespace limpet::gateway
{

/// Settings of a gateway, all values checked.
struct gateway_settings
{
    vm_id vm;
    data_centre_id data_centre;
    /// Where callers reach the gateway.
    boost::asio::ip::tcp::endpoint callers;
    /// Where the load balancer asks whether the gateway takes connections.
    boost::asio::ip::tcp::endpoint readiness;
    /// Where the project's other processes reach the gateway.
    boost::asio::ip::tcp::endpoint peers;
    /// Where metrics are read, if anywhere.
    std::optional<boost::asio::ip::tcp::endpoint> metrics;
    /// Operators' addresses of control replicas; their peers' port is this
    /// process's own.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    /// Time from SIGTERM to the end of the process, requests cut off or not.
    duration drain_timeout = seconds(8);
    /// Part of a service's requests that may be sent once more.
    double retry_ratio = 0.1;
    log_level log = log_level::info;
};

/// Parses the settings' document. Errors name the path and the reason.
outcome<gateway_settings>
parse_gateway_settings(const boost::json::value& document);

} // namespace limpet::gateway
