/// \file
/// Replicated state of the control group.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/claims/claim_table.hpp>
#include <limpet/config/state_machine.hpp>
#include <limpet/directory/intent.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::control
{

/// Answer to an order whose document changes one that is not in force.
constexpr std::string_view other_base_answer = "other_base";

/// Returns the log entry of an operator's command.
std::string make_entry(const config::command& order);

/// Returns the log entry of a claims command.
std::string make_entry(const claims::claim_command& order);

/// Returns the log entry of an order for the fleet as a whole.
std::string make_entry(const directory::command& order);

/// The configuration, the claims and the orders for the whole fleet, all driven
/// by one log. Equal logs give equal states. Not thread-safe.
class control_state
{
public:
    /// Starts empty, under the group's number.
    explicit control_state(std::uint64_t group);

    /// Applies the entry of the index and returns its answer: a
    /// config::command_result as JSON, or an encoded claims::claim_answer. An
    /// entry that cannot be read has no effect and an empty answer.
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

    /// Returns the whole state.
    std::string snapshot() const;

    /// Replaces the state by a snapshot's. Errors: malformed; the state is
    /// then as before.
    status restore(std::string_view snapshot);

private:
    config::state_machine m_config;
    claims::claim_table m_claims;
    directory::intent m_orders;
};

} // namespace limpet::control
