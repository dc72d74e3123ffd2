/// \file
/// State shared by all requests of a gateway.

#pragma once

#include "gateway_metrics.hpp"
#include "handover_service.hpp"
#include "origin_service.hpp"
#include "quarantine_service.hpp"
#include "reach_tracker.hpp"
#include "response_buffer.hpp"
#include "wait_queue.hpp"

#include <limpet/admission/retry_budget.hpp>
#include <limpet/admission/return_schedule.hpp>
#include <limpet/directory/route_table.hpp>
#include <limpet/gateway/protocol.hpp>
#include <limpet/gateway/server_pool.hpp>
#include <limpet/http/client.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace limpet::gateway
{

class request_handler;

/// Returns the longest time from the beginning of a stream of the route to an
/// attempt to resume it: the caller waits for its first attempt and the next.
duration max_stream_age(const directory::route& route);

/// State of one gateway. Used on one thread.
struct gateway_state
{
    const protocol& codec;
    server_pool pool;
    wait_queue queue;
    std::shared_ptr<http::client> client;
    /// Null until the first configuration arrives.
    std::shared_ptr<const directory::route_table> plan;
    double retry_ratio = 0;
    time_point started_at = monotonic_clock::now();
    /// Retry budget of each service.
    std::map<std::string, admission::retry_budget> retry_budgets;

    gateway_metrics metrics;
    response_buffer_budget response_buffers;
    /// Whether new requests are refused because the gateway shuts down.
    bool is_shutting_down = false;
    /// Never null while requests are handled.
    std::unique_ptr<origin_service> origins;
    /// Never null while requests are handled.
    std::unique_ptr<quarantine_service> quarantine;
    /// When callers return that were refused for the limits of each service's
    /// servers.
    std::map<std::string, admission::return_schedule> limit_returns = {};
    /// When the requests in progress are ended because the gateway shuts down.
    std::optional<time_point> drain_ends_at = {};
    /// The requests in progress.
    std::set<request_handler*> requests = {};
    /// Which services' servers this router reaches.
    reach_tracker reach = {};
    /// Null in a gateway without other routers.
    std::unique_ptr<handover_service> handover = {};

    admission::retry_budget& retry_budget_for(const std::string& service);

    /// Refuses new requests and sends the final response of those in progress,
    /// or cuts off their streams.
    void end_requests();
};

} // namespace limpet::gateway
