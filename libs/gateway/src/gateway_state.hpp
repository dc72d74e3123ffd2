/// \file
/// What all requests of a gateway share.

#pragma once

#include "gateway_metrics.hpp"
#include "room_queue.hpp"

#include <limpet/admission/retry_budget.hpp>
#include <limpet/directory/route_table.hpp>
#include <limpet/gateway/protocol.hpp>
#include <limpet/gateway/server_pool.hpp>
#include <limpet/http/client.hpp>

#include <map>
#include <memory>
#include <string>

namespace limpet::gateway
{

/// State of one gateway. Used on one thread.
struct gateway_state
{
    const protocol& language;
    server_pool pool;
    room_queue queue;
    std::shared_ptr<http::client> client;
    /// Null until the first configuration is known.
    std::shared_ptr<const directory::route_table> plan;
    double retry_ratio = 0;
    time_point started_at = monotonic_clock::now();
    /// Budget of repeats for each service.
    std::map<std::string, admission::retry_budget> budgets;

    gateway_metrics metrics;
    /// Whether new requests are refused, as the gateway ends soon.
    bool is_ending = false;

    admission::retry_budget& budget_of(const std::string& service);
};

} // namespace limpet::gateway
