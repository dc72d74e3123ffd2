#include "gateway_metrics.hpp"

#include <limpet/base/metrics_text.hpp>

#include <sstream>

namespace limpet::gateway
{

namespace
{

/// Tenants with a count of their own; bounds the size of the text.
constexpr std::size_t max_tenants = 200;
constexpr std::string_view other_tenants = "other";

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + std::string(value) + "\"";
}

} // namespace

void gateway_metrics::record(const request_figures& request)
{
    service_metrics& service = m_services[request.service];
    ++service.outcomes[{std::string(request.outcome), request.status}];
    service.tries += request.tries;
    service.waited.add(request.waited);
    service.whole.add(request.whole);
    if (request.first > duration::zero())
    {
        service.first.add(request.first);
    }
    const bool has_room =
        m_tenants.contains(request.tenant) || m_tenants.size() < max_tenants;
    ++m_tenants[has_room ? request.tenant : std::string(other_tenants)];
}

void gateway_metrics::record_try(const std::string& service,
                                 std::string_view end)
{
    ++m_services[service].ends[std::string(end)];
}

std::string gateway_metrics::to_text() const
{
    std::ostringstream out;
    for (const auto& [name, each] : m_services)
    {
        const std::string service = label("service", name);
        for (const auto& [key, count] : each.outcomes)
        {
            out << "limpet_gateway_requests_total{" << service << ","
                << label("outcome", key.first) << ",status=\"" << key.second
                << "\"} " << count << "\n";
        }
        for (const auto& [end, count] : each.ends)
        {
            out << "limpet_gateway_tries_total{" << service << ","
                << label("end", end) << "} " << count << "\n";
        }
        write_histogram(
            out, "limpet_gateway_wait_seconds", service, each.waited);
        write_histogram(
            out, "limpet_gateway_first_byte_seconds", service, each.first);
        write_histogram(
            out, "limpet_gateway_request_seconds", service, each.whole);
    }
    for (const auto& [tenant, count] : m_tenants)
    {
        out << "limpet_gateway_tenant_requests_total{"
            << label("tenant", tenant) << "} " << count << "\n";
    }
    return out.str();
}

} // namespace limpet::gateway
