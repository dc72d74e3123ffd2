/// \file
/// Counters and latency histograms of a gateway's requests and attempts.

#pragma once

#include <limpet/base/histogram.hpp>
#include <limpet/base/units.hpp>
#include <limpet/gateway/server_pool.hpp>

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace limpet::gateway
{

/// Measurements of one finished request.
struct request_measurements
{
    std::string service;
    std::string tenant;
    std::string_view outcome;
    unsigned status = 0;
    unsigned attempts = 0;
    /// Time spent waiting for a configuration and for a server with capacity.
    duration wait_time{};
    /// Time from arrival to the first byte of the response; zero without one.
    duration first_byte_time{};
    duration total_time{};
};

/// Collects metrics and writes them in the Prometheus text format. The number
/// of tenant labels is bounded: further tenants are counted together under the
/// label "other". Used on one thread.
class gateway_metrics
{
public:
    void record(const request_measurements& request);
    void record_attempt(const std::string& service, std::string_view end);
    /// Records the load that a server reported, in requests, and what was
    /// assumed of it when the request was sent there.
    void record_load(const std::string& service,
                     const load_assessment& assumed,
                     std::uint64_t reported);

    std::string to_text() const;

private:
    /// Counts and sums over the responses that reported a load.
    struct load_metrics
    {
        /// Responses by where the knowledge of the load came from.
        std::map<load_source, std::uint64_t> sources;
        /// Responses that reported a load above the bound assumed.
        std::uint64_t above_bound = 0;
        std::uint64_t reported = 0;
        double assumed = 0;
        double assumed_mean = 0;
    };

    struct service_metrics
    {
        histogram wait_time;
        histogram first_byte_time;
        histogram total_time;
        std::uint64_t attempts = 0;
        load_metrics loads;
        /// Requests by outcome and status.
        std::map<std::pair<std::string, unsigned>, std::uint64_t> outcomes;
        /// Attempts by the way they ended.
        std::map<std::string, std::uint64_t> attempt_ends;
    };

    static void write_loads(std::ostream& out,
                            const std::string& service,
                            const load_metrics& loads);

    std::map<std::string, service_metrics> m_services;
    std::map<std::string, std::uint64_t> m_tenants;
};

} // namespace limpet::gateway
