#include "gateway_state.hpp"

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

} // namespace limpet::gateway
