#include "gateway_metrics.hpp"

#include <limpet/base/metrics_text.hpp>

#include <sstream>

namespace limpet::gateway
{

namespace
{

/// Most tenants with a label of their own; bounds the size of the output.
constexpr std::size_t max_tenants = 200;
constexpr std::string_view other_tenants = "other";

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + std::string(value) + "\"";
}

} // namespace

void gateway_metrics::record(const request_measurements& request)
{
    service_metrics& service = m_services[request.service];
    ++service.outcomes[{std::string(request.outcome), request.status}];
    service.attempts += request.attempts;
    service.wait_time.add(request.wait_time);
    service.total_time.add(request.total_time);
    if (request.first_byte_time > duration::zero())
    {
        service.first_byte_time.add(request.first_byte_time);
    }
    const bool has_own_label =
        m_tenants.contains(request.tenant) || m_tenants.size() < max_tenants;
    ++m_tenants[has_own_label ? request.tenant : std::string(other_tenants)];
}

void gateway_metrics::record_attempt(const std::string& service,
                                     std::string_view end)
{
    ++m_services[service].attempt_ends[std::string(end)];
}

void gateway_metrics::record_load(const std::string& service,
                                  const load_assessment& assumed,
                                  std::uint64_t reported)
{
    load_metrics& loads = m_services[service].loads;
    ++loads.sources[assumed.source];
    loads.above_bound +=
        static_cast<double>(reported) > assumed.load_bound ? 1 : 0;
    loads.reported += reported;
    loads.assumed += assumed.assumed_load;
    loads.assumed_mean += assumed.mean_load;
}

void gateway_metrics::write_loads(std::ostream& out,
                                  const std::string& service,
                                  const load_metrics& loads)
{
    const auto line = [&out, &service](std::string_view name, auto value)
    {
        out << "limpet_gateway_load_" << name << "{" << service << "} " << value
            << "\n";
    };
    for (const auto& [source, count] : loads.sources)
    {
        out << "limpet_gateway_load_responses_total{" << service << ","
            << label("source", to_string(source)) << "} " << count << "\n";
    }
    line("above_bound_total", loads.above_bound);
    line("reported_sum", loads.reported);
    line("assumed_sum", loads.assumed);
    line("assumed_mean_sum", loads.assumed_mean);
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
        for (const auto& [end, count] : each.attempt_ends)
        {
            out << "limpet_gateway_tries_total{" << service << ","
                << label("end", end) << "} " << count << "\n";
        }
        if (!each.loads.sources.empty())
        {
            write_loads(out, service, each.loads);
        }
        write_histogram(
            out, "limpet_gateway_wait_seconds", service, each.wait_time);
        write_histogram(out,
                        "limpet_gateway_first_byte_seconds",
                        service,
                        each.first_byte_time);
        write_histogram(
            out, "limpet_gateway_request_seconds", service, each.total_time);
    }
    for (const auto& [tenant, count] : m_tenants)
    {
        out << "limpet_gateway_tenant_requests_total{"
            << label("tenant", tenant) << "} " << count << "\n";
    }
    return out.str();
}

} // namespace limpet::gateway
