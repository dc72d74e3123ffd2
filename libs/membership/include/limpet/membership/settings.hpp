/// \file
/// Settings of a router's membership.

#pragma once

#include <limpet/base/settings_reader.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::membership
{

/// Timing and limits of the membership protocol. All routers of a region must
/// use the same values of ownership_lease, engine_lease and probe_timeout.
struct settings
{
    /// Interval between the probes that a router sends.
    duration probe_period = milliseconds(500);
    /// Timeout of the direct probe and, after it, of the indirect probes sent
    /// through other routers.
    duration probe_timeout = milliseconds(400);
    /// Number of routers asked to probe a router that did not answer a direct
    /// probe.
    std::uint32_t indirect_probes = 3;
    /// Time for which a router stays suspect before it is removed.
    duration suspicion = milliseconds(3000);
    /// Interval between transmissions of pending changes.
    duration gossip_period = milliseconds(200);
    /// Number of routers to which each transmission of pending changes goes.
    std::uint32_t gossip_fanout = 3;
    /// Interval between comparisons of all records with a random router.
    duration sync_period = milliseconds(5000);
    /// Validity of a lease grant by another router of the data centre.
    duration ownership_lease = milliseconds(10000);
    /// Time after which an engine that does not renew is removed.
    duration engine_lease = milliseconds(45000);
    /// Renewal period that engines are given when they announce themselves.
    duration engine_renewal = milliseconds(15000);
    /// Time for which records of removed routers and engines are retained.
    duration retention = seconds(600);
    /// Minimum time before a router with a recent restart or removal may own
    /// engines, and before an engine that changes often may change again.
    /// Doubles with each further restart, removal or change.
    duration hold_down = milliseconds(2000);
    /// Upper bound of the hold-down.
    duration max_hold_down = milliseconds(60000);
    /// Interval between the rounds that sum the region's load.
    duration digest_period = milliseconds(500);
    /// Interval between exchanges of load sums with other regions.
    duration region_period = milliseconds(10000);
    /// Maximum number of registered engines; further ones are refused.
    std::uint32_t max_engines = 20000;
    /// Maximum number of routers of the region; further ones are ignored.
    std::uint32_t max_routers = 1000;
};

/// Parses the settings from a JSON object; absent keys keep their defaults.
/// Path names the object in error messages.
outcome<settings> parse_settings(const boost::json::value& object,
                                 const std::string& path);

} // namespace limpet::membership
