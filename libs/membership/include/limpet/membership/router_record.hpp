/// \file
/// Replicated record of a router within a region.

#pragma once

#include <limpet/base/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpet::membership
{

/// Identity, address and location of a router.
struct peer
{
    vm_id vm;
    /// Address of the router's internal port, host:port.
    std::string address;
    data_centre_id data_centre;
    region_id region;

    friend bool operator==(const peer&, const peer&) = default;
};

/// State of a router, in order of precedence within one version.
enum class router_state : std::uint8_t
{
    alive,   ///< Answers probes.
    suspect, ///< Did not answer recent probes; still counts as a member.
    dead,    ///< Removed after suspicion. A higher version restores it.
    left     ///< Left deliberately; final for its incarnation.
};

/// Returns the state's name as used in logs and JSON answers.
std::string_view to_string(router_state state) noexcept;

/// The latest known state of a router. Records of one router are ordered by
/// incarnation, then whether the router left, then version, then state. Every
/// router keeps the highest, so that all routers converge on the same record.
struct router_record
{
    peer self;
    /// Identifies the router's process; a later process has a higher value.
    incarnation started;
    /// Incremented only by the router itself, to refute a suspicion or to
    /// change its record.
    std::uint32_t version = 0;
    router_state state = router_state::alive;
    /// Whether the router may own engines: set by the router itself once its
    /// hold-down is over.
    bool ready = false;
    /// Number of recent restarts and removals. Each doubles the hold-down.
    std::uint8_t flaps = 0;

    /// Returns whether the router counts as a member.
    bool is_member() const noexcept
    {
        return state == router_state::alive || state == router_state::suspect;
    }
};

/// Returns whether the first record replaces the second.
bool supersedes(const router_record& first,
                const router_record& second) noexcept;

} // namespace limpet::membership
