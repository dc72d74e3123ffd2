/// \file
/// Replicated record of a service's rollout.

#pragma once

#include <limpet/base/strong_type.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace limpet::rollout
{

/// Log index of the order that began a rollout; 0 for none.
using rollout_id = strong_type<struct rollout_id_tag, std::uint64_t>;

/// Phase of a rollout. A rollout moves to a higher phase only, and ends in one
/// of the last two.
enum class phase : std::uint8_t
{
    observing = 1,   ///< The target gets a bounded share of the requests.
    switching = 2,   ///< All new requests move to the target.
    completed = 3,   ///< Servers of the superseded versions stop.
    rolled_back = 4, ///< The target gets no requests.
};

std::string_view to_string(phase value) noexcept;

/// Returns whether the phase is one of the two that a rollout ends in.
constexpr bool is_finished(phase value) noexcept
{
    return value == phase::completed || value == phase::rolled_back;
}

/// Returns whether a rollout may move from one phase to the other.
bool may_advance(phase from, phase to) noexcept;

/// A service's rollout, as it is stored in the replicated log.
struct record
{
    std::string service;
    /// Software version that the service moves to.
    std::string target;
    /// Time from the order to its deadline.
    duration length{};
    rollout_id id{};
    phase current = phase::observing;
    /// Time since the order, as last committed.
    duration elapsed{};
    /// Versions of the service that were recorded before the order, without the
    /// target. Their servers stop once the rollout is completed.
    std::set<std::string> superseded;
};

bool operator==(const record& a, const record& b);

/// Rollouts by service: of each, the one that began last.
using record_map = std::map<std::string, record>;

/// An operator's order for a rollout.
struct start_order
{
    std::string service;
    std::string target;
    duration length{};
    /// The finished rollout of the service that the new one replaces.
    rollout_id replaces{};
};

/// Result of an order for a rollout.
enum class start_result
{
    started,
    repeated, ///< The service's rollout is the one that was ordered.
    refused,  ///< The service has another rollout than the one to be replaced.
};

/// Applies the order, which gets the id. `versions` are the recorded versions
/// of the service. A repeated order changes nothing.
start_result start(record_map& rollouts,
                   const start_order& order,
                   rollout_id id,
                   std::set<std::string> versions);

/// Step of a rollout, as the leader proposes it.
struct advance
{
    std::string service;
    rollout_id id{};
    phase to = phase::observing;
    duration elapsed{};
};

/// Applies the step. Returns whether the record has changed: a step of another
/// rollout, to a phase that cannot follow, or of a finished rollout changes
/// nothing, and the elapsed time never falls.
bool apply(record& current, const advance& step);

} // namespace limpet::rollout
