#include "gateway_state.hpp"

#include "request_handler.hpp"

namespace limpet::gateway
{

namespace
{

/// Burst of a service's retry budget at one router. Small enough that the
/// bursts of all routers together stay within the retries that operators allow
/// beyond the ratio.
constexpr double retry_burst = 4;

} // namespace

duration max_stream_age(const directory::route& route)
{
    return 2 * route.timeout + seconds(1);
}

admission::retry_budget&
gateway_state::retry_budget_for(const std::string& service)
{
    return retry_budgets
        .emplace(service, admission::retry_budget(retry_ratio, retry_burst))
        .first->second;
}

void gateway_state::end_requests()
{
    is_shutting_down = true;
    for (request_handler* each : std::set(requests))
    {
        each->end_for_shutdown();
    }
    queue.wake_all();
}

} // namespace limpet::gateway
