/// \file
/// Status report and metrics of a router for operators.

#pragma once

#include "membership_service.hpp"
#include "owner_service.hpp"

#include <limpet/config/config_view.hpp>
#include <limpet/wire/traffic_counters.hpp>

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace limpet::pipeline
{

/// Data from which a status report is generated.
struct status_inputs
{
    wire::link_identity self;
    membership_service::view_ptr members;
    std::vector<engine_status> owned;
    /// Null if no configuration has been received.
    config::view_ptr config;
};

/// Returns a JSON object with the routers, the engines and their owners, the
/// load and limits of the engines that this router owns, and the configuration
/// revision in force.
boost::json::object make_status_report(const status_inputs& inputs);

/// Returns the load and limits of the engines in the Prometheus text format.
std::string owner_metrics_text(const std::vector<engine_status>& engines);

/// Returns the traffic of the links in the Prometheus text format.
std::string traffic_text(const wire::traffic_counters& counters);

} // namespace limpet::pipeline
