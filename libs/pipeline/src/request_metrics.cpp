#include "request_metrics.hpp"

#include <limpet/base/metrics_text.hpp>

#include <sstream>

namespace limpet::pipeline
{

namespace
{

constexpr std::string_view other_teams = "other";

std::string team_label(const std::string& team)
{
    return "team=\"" + team + "\"";
}

} // namespace

request_metrics::request_metrics(std::size_t max_teams)
    : m_max_teams(max_teams)
{
}

void request_metrics::record(const request_context& context, time_point now)
{
    const std::lock_guard lock(m_mutex);
    team_metrics& team = metrics_of(context.team);
    ++team.outcomes[static_cast<std::size_t>(context.outcome)];
    if (context.first_token)
    {
        team.first_token.add(*context.first_token);
    }
    team.total.add(now - context.received_at);
}

std::string request_metrics::to_text() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    out << "# TYPE limpet_requests_total counter\n";
    for (const auto& [team, values] : m_teams)
    {
        for (std::size_t i = 0; i < outcome_count; ++i)
        {
            out << "limpet_requests_total{team=\"" << team << "\",outcome=\""
                << to_string(static_cast<run_outcome>(i)) << "\"} "
                << values.outcomes[i] << "\n";
        }
    }
    out << "# TYPE limpet_first_token_seconds histogram\n";
    for (const auto& [team, values] : m_teams)
    {
        write_histogram(out,
                        "limpet_first_token_seconds",
                        team_label(team),
                        values.first_token);
    }
    out << "# TYPE limpet_request_seconds histogram\n";
    for (const auto& [team, values] : m_teams)
    {
        write_histogram(
            out, "limpet_request_seconds", team_label(team), values.total);
    }
    return out.str();
}

request_metrics::team_metrics& request_metrics::metrics_of(const team_id& team)
{
    const auto known = m_teams.find(team.get());
    if (known != m_teams.end())
    {
        return known->second;
    }
    const bool has_capacity = m_teams.size() < m_max_teams;
    return m_teams[has_capacity ? team.get() : std::string(other_teams)];
}

} // namespace limpet::pipeline
