#include "gateway_state.hpp"

namespace limpet::gateway
{

namespace
{

/// Repeats that a router may save up for a service. All routers together
/// stay within what operators allow beyond the ratio.
constexpr double saved_repeats = 4;

} // namespace

admission::retry_budget& gateway_state::budget_of(const std::string& service)
{
    return budgets
        .emplace(service, admission::retry_budget(retry_ratio, saved_repeats))
        .first->second;
}

} // namespace limpet::gateway
