/// \file
/// Replicated state machine of the control group.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/claims/claim_table.hpp>
#include <limpet/config/state_machine.hpp>
#include <limpet/directory/departures.hpp>
#include <limpet/directory/intent.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpet::control
{

/// Answer to an order whose delta applies to a document that is not in force.
constexpr std::string_view other_base_answer = "other_base";

/// Answer to an order for a rollout of a service that has another one.
constexpr std::string_view other_rollout_answer = "other_rollout";

/// Encodes an operator's command as a log entry.
std::string make_entry(const config::command& command);

/// Encodes a claim command as a log entry.
std::string make_entry(const claims::claim_command& command);

/// Encodes an order for the fleet as a log entry.
std::string make_entry(const directory::command& command);

/// Encodes departures of backend servers as a log entry. Releases without them
/// skip it.
std::string make_entry(const directory::departure_report& report);

/// Returns the report in the log entry, nullopt if it is of another kind.
std::optional<directory::departure_report>
departures_in(std::string_view entry);

/// The configuration, the claims, the operators' orders for the fleet and the
/// departures of backend servers, all built from one log. Deterministic: equal
/// logs give equal states. Not thread-safe.
class control_state
{
public:
    /// Creates an empty state. `group` is the hash of the group's name.
    explicit control_state(std::uint64_t group);

    /// Applies the entry at the index and returns its answer: a
    /// config::command_result as JSON for a config command, an encoded
    /// claims::claim_answer for a claim command, and other_base_answer,
    /// other_rollout_answer or an empty string for an order. An entry that
    /// cannot be decoded has no effect and an empty answer.
    std::string apply(std::uint64_t index, std::string_view entry);

    const config::state_machine& config() const noexcept
    {
        return m_config;
    }

    const claims::claim_table& claims() const noexcept
    {
        return m_claims;
    }

    const directory::intent& orders() const noexcept
    {
        return m_orders;
    }

    const directory::departure_table& departures() const noexcept
    {
        return m_departures;
    }

    /// Returns the complete state, encoded.
    std::string snapshot() const;

    /// Replaces the state by the snapshot. Errors: malformed, in which case the
    /// state is unchanged.
    status restore(std::string_view snapshot);

private:
    config::state_machine m_config;
    claims::claim_table m_claims;
    directory::intent m_orders;
    directory::departure_table m_departures;
};

} // namespace limpet::control
