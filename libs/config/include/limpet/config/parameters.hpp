/// \file
/// Parameters that templates give to teams.

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

/// Whether requests of a kind may run more than once.
struct route_rule
{
    /// Name of the kind of request, such as "chat".
    std::string kind;
    bool repeatable = false;

    friend bool operator==(const route_rule&, const route_rule&) = default;
};

/// What a template says about priority, capacity and the conduct of chats.
struct parameters
{
    /// 0 (lowest) to 9.
    std::uint32_t priority = 4;
    /// Weight among the teams of the partner.
    std::uint32_t share = 100;
    /// Models that the teams may use; the first is the default.
    std::vector<model_id> models;
    token_count max_output_tokens{4096};
    /// Longest time from the request's arrival to the end of its answer.
    duration deadline = seconds(120);
    /// Longest time in a queue before the request is refused.
    duration queue_time = seconds(5);
    /// Requests that a team may have open at one router.
    std::uint32_t max_open_requests = 64;
    /// Time after which a chat that does not return may be forgotten.
    duration chat_retention = std::chrono::hours(4);
    std::vector<route_rule> routes;

    friend bool operator==(const parameters&, const parameters&) = default;
};

/// The parameters in which a team differs from its template.
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

/// A team's parameters in force: its overrides over its template's values.
/// Refers to both without copying; valid as long as the view they are from.
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

    /// Returns whether requests of the kind may run more than once. Kinds
    /// that are not listed may not.
    bool repeatable(std::string_view kind) const;

    /// Returns whether the team may use the model.
    bool allows_model(std::string_view model) const;

private:
    const parameters* m_base;
    const parameter_overrides* m_overrides;
};

} // namespace limpet::config
