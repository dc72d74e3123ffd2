/// \file
/// Request counts and latencies by team.

#pragma once

#include "request_context.hpp"

#include <limpet/base/histogram.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace limpet::pipeline
{

/// Request metrics of each team. The number of teams shown is limited; requests
/// of further teams are aggregated under the team name "other". Thread-safe.
class request_metrics
{
public:
    explicit request_metrics(std::size_t max_teams);

    /// Records a request that has ended.
    void record(const request_context& context, time_point now);

    /// Returns the metrics in the Prometheus text format.
    std::string to_text() const;

private:
    static constexpr std::size_t outcome_count = 3;

    struct team_metrics
    {
        histogram first_token;
        histogram total;
        std::array<std::uint64_t, outcome_count> outcomes{};
    };

    team_metrics& metrics_of(const team_id& team);

    std::size_t m_max_teams;
    mutable std::mutex m_mutex;
    std::map<std::string, team_metrics> m_teams;
};

} // namespace limpet::pipeline
