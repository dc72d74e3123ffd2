/// \file
/// When software versions of services were recorded in the control group's log.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/origins/keys.hpp>

#include <map>
#include <set>

namespace limpet::origins
{

/// Longest age of a question to most replicas whose answers make a router
/// certain of a service's versions. Covers the intervals of subscriptions and
/// of updates, 500 ms each, and their round trip.
constexpr duration certainty_time = milliseconds(1500);

/// Software versions by service, as the control group's log holds them.
using version_sets = std::map<service_key, std::set<version_key>>;

/// Keeps resumable streams of a new version from beginning while another router
/// may still be certain that only the former one exists: a router that is cut
/// off or suspended is certain for at most certainty_time. Takes the time as an
/// argument; not thread-safe.
class version_records
{
public:
    /// Replaces the versions by those of newer orders. The versions of the
    /// first orders count as recorded long before.
    void set(const version_sets& recorded, time_point now);

    /// Returns whether a resumable stream may begin at a server of the version,
    /// which this router has known since `known_since`, though other versions
    /// serve too. A version that is not recorded, as the control group has no
    /// leader, may begin streams later.
    bool may_begin(service_key service,
                   version_key version,
                   time_point known_since,
                   time_point now) const;

    /// Returns whether the version is recorded, or none of the service is.
    bool is_possible(service_key service, version_key version) const;

    /// Returns the versions of the service that were recorded since then.
    std::set<version_key> recorded_since(service_key service,
                                         time_point since) const;

private:
    /// When this router received each version, by service.
    std::map<service_key, std::map<version_key, time_point>> m_recorded_at;
    bool m_has_orders = false;
};

} // namespace limpet::origins
