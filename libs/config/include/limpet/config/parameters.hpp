/// \file
/// Team parameters, defined by templates and overridden by teams.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::config
{

/// Whether requests of one kind may be executed more than once.
struct route_rule
{
    /// Kind of request, such as "chat".
    std::string kind;
    bool repeatable = false;

    friend bool operator==(const route_rule&, const route_rule&) = default;
};

/// Parameters of a template: priority, capacity limits, deadlines and retention
/// of chats.
struct parameters
{
    /// 0 (lowest) to 9.
    std::uint32_t priority = 4;
    /// Weight among the teams of the partner.
    std::uint32_t share = 100;
    /// Models that the teams may use; the first is the default.
    std::vector<model_id> models;
    token_count max_output_tokens{4096};
    /// Maximum time from the arrival of a request to the end of its response.
    duration deadline = seconds(120);
    /// Maximum time that a request waits in a queue before it is refused.
    duration queue_time = seconds(5);
    /// Maximum number of requests that a team may have open on one router.
    std::uint32_t max_open_requests = 64;
    /// Time without a request after which the state of a chat may be evicted.
    duration chat_retention = std::chrono::hours(4);
    std::vector<route_rule> routes;

    friend bool operator==(const parameters&, const parameters&) = default;
};

/// A team's overrides of its template's parameters.
struct parameter_overrides
{
    std::optional<std::uint32_t> priority;
    std::optional<std::uint32_t> share;
    std::optional<std::vector<model_id>> models;
    std::optional<token_count> max_output_tokens;
    std::optional<duration> deadline;
    std::optional<duration> queue_time;
    std::optional<std::uint32_t> max_open_requests;
    std::optional<duration> chat_retention;
    std::optional<std::vector<route_rule>> routes;

    friend bool operator==(const parameter_overrides&,
                           const parameter_overrides&) = default;
};

/// A team's effective parameters: its overrides, and its template's values for
/// everything else. References both without copying; valid as long as the view
/// that contains them.
class team_parameters
{
public:
    team_parameters(const parameters& base,
                    const parameter_overrides& overrides) noexcept
        : m_base(&base),
          m_overrides(&overrides)
    {
    }

    std::uint32_t priority() const;
    std::uint32_t share() const;
    const std::vector<model_id>& models() const;
    token_count max_output_tokens() const;
    duration deadline() const;
    duration queue_time() const;
    std::uint32_t max_open_requests() const;
    duration chat_retention() const;
    const std::vector<route_rule>& routes() const;

    /// Returns whether requests of the kind may be executed more than once.
    /// Returns false for a kind without a rule.
    bool repeatable(std::string_view kind) const;

    /// Returns whether the team may use the model.
    bool allows_model(std::string_view model) const;

private:
    const parameters* m_base;
    const parameter_overrides* m_overrides;
};

} // namespace limpet::config
