/// \file
/// What operators see of a router.

#pragma once

#include "fleet.hpp"
#include "owner_service.hpp"

#include <limpet/config/config_view.hpp>
#include <limpet/wire/traffic_counters.hpp>

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace limpet::pipeline
{

/// Facts that a status report is made from.
struct status_inputs
{
    wire::link_identity self;
    fleet::view_ptr members;
    std::vector<engine_status> owned;
    /// Null before there is a configuration.
    config::view_ptr config;
};

/// Returns the routers, the engines with their owners and, for the engines
/// owned here, their load and limits, and the revision in force.
boost::json::object make_status_report(const status_inputs& inputs);

/// Returns the engines' load and limits in Prometheus' text format.
std::string owner_metrics_text(const std::vector<engine_status>& engines);

/// Returns the links' traffic in Prometheus' text format.
std::string traffic_text(const wire::traffic_counters& counters);

} // namespace limpet::pipeline
