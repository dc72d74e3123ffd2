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

/// Validated settings of a gateway.
struct gateway_settings
{
    vm_id vm;
    data_centre_id data_centre;
    /// Listening address for callers.
    boost::asio::ip::tcp::endpoint callers;
    /// Listening address for the load balancer's readiness probe.
    boost::asio::ip::tcp::endpoint readiness;
    /// Listening address for links with control replicas.
    boost::asio::ip::tcp::endpoint peers;
    /// Listening address for metrics scrapes; none disables them.
    std::optional<boost::asio::ip::tcp::endpoint> metrics;
    /// Operator-interface addresses of control replicas. Only the IP address is
    /// used: replicas listen for links on the same port as this process.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    /// Longest time from SIGTERM to the end of the process; requests still in
    /// progress then are cut off.
    duration drain_timeout = seconds(8);
    /// Retry budget: retries allowed for each first attempt of a service.
    double retry_ratio = 0.1;
    /// Largest share of a service's requests that goes to the target of a
    /// rollout before it was found to be good. Without it, rollouts have no
    /// effect.
    std::optional<double> rollout_exposure_share;
    /// Memory of the VM in bytes. Without it, bodies may take as much as the
    /// HTTP server's defaults allow.
    std::optional<std::uint64_t> memory;
    /// Descriptors that the process may have. Without it, the number of
    /// callers' connections is the HTTP server's default.
    std::optional<std::uint64_t> max_descriptors;
    log_level log = log_level::info;
};

/// Parses the settings document. Errors name the path and the reason.
outcome<gateway_settings>
parse_gateway_settings(const boost::json::value& document);

} // namespace limpet::gateway
