/// \file
/// Counts and durations of a gateway's requests and tries.

#pragma once

#include <limpet/base/histogram.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace limpet::gateway
{

/// What is counted of one request that has ended.
struct request_figures
{
    std::string service;
    std::string tenant;
    std::string_view outcome;
    unsigned status = 0;
    unsigned tries = 0;
    duration waited{};
    /// Until the first byte of the answer; zero if there was none.
    duration first{};
    duration whole{};
};

/// Metrics in Prometheus' text format. Labels of tenants are bounded; further
/// ones count together under the name "other". Used on one thread.
class gateway_metrics
{
public:
    void record(const request_figures& request);
    void record_try(const std::string& service, std::string_view end);

    std::string to_text() const;

private:
    struct service_metrics
    {
        histogram waited;
        histogram first;
        histogram whole;
        std::uint64_t tries = 0;
        std::map<std::pair<std::string, unsigned>, std::uint64_t> outcomes;
        std::map<std::string, std::uint64_t> ends;
    };

    std::map<std::string, service_metrics> m_services;
    std::map<std::string, std::uint64_t> m_tenants;
};

} // namespace limpet::gateway
