/// \file
/// Settings of a router's membership.

#pragma once

#include <limpet/base/settings_reader.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::membership
{

/// Times and bounds of the membership protocol. All routers of a region must
/// use the same values of ownership_lease, engine_lease and probe_timeout.
struct settings
{
    /// Time between two probes that a router sends.
    duration probe_period = milliseconds(500);
    /// Time after which a probe counts as failed, first of the direct probe
    /// and then of those sent through other routers.
    duration probe_timeout = milliseconds(400);
    /// Number of routers asked to probe a router that did not answer.
    std::uint32_t indirect_probes = 3;
    /// Time for which a router is suspected before it is removed.
    duration suspicion = milliseconds(3000);
    /// Time between two transmissions of pending changes.
    duration gossip_period = milliseconds(200);
    /// Number of routers to which pending changes are sent at a time.
    std::uint32_t gossip_fanout = 3;
    /// Time between two comparisons of the lists with a random router.
    duration sync_period = milliseconds(5000);
    /// Time for which a grant by another router of the data centre holds.
    duration ownership_lease = milliseconds(10000);
    /// Time after which an engine that does not renew is removed.
    duration engine_lease = milliseconds(45000);
    /// Renewal period that is told to engines.
    duration engine_renewal = milliseconds(15000);
    /// Time for which removed routers and engines are remembered.
    duration retention = seconds(600);
    /// Shortest time from joining to owning engines; doubles with each recent
    /// restart or removal.
    duration hold_down = milliseconds(2000);
    /// Longest such time.
    duration max_hold_down = milliseconds(60000);
    /// Time between two rounds in which the region's load is summed.
    duration digest_period = milliseconds(500);
    /// Time between two exchanges of sums with other regions.
    duration region_period = milliseconds(10000);
    /// Highest number of engines kept; further ones are refused.
    std::uint32_t max_engines = 20000;
    /// Highest number of routers kept for one region.
    std::uint32_t max_routers = 1000;
};

/// Reads the settings from a JSON object; absent keys keep their defaults.
outcome<settings> parse_settings(const boost::json::value& object,
                                 const std::string& path);

} // namespace limpet::membership
