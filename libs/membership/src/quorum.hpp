/// \file
/// Lease that a quorum of voters grants to this router.

#pragma once

#include "region_state.hpp"

#include <map>

namespace limpet::membership
{

/// Tracks which voters recently answered that they count this router as a
/// member. While a majority of grants is valid, no other router can have become
/// the full owner of this router's engines. The voters are all routers of the
/// data centre that have not left, including removed ones until their records
/// are evicted. If their number is even, one router of another data centre is
/// added as a tie-breaker.
class quorum
{
public:
    explicit quorum(const region_state& state)
        : m_state(state)
    {
    }

    /// Records a voter's grant for a probe sent at the given time.
    void grant(key voter, time_point probe_sent);

    /// Returns the voters, this router included.
    const std::vector<key>& voters() const;

    /// Returns whether a majority of voters granted probes sent at or after the
    /// given time. This router counts as granting.
    bool granted_since(time_point start) const;

    /// Returns the expiry of this router's lease: time_point::min() without a
    /// majority of grants, time_point::max() for the only voter.
    time_point lease_until() const;

    /// Returns the time at which the last probe granted by the voter was sent,
    /// or time_point::min() if there is none.
    time_point last_grant(key voter) const;

private:
    void refresh_voters() const;
    time_point compute_lease() const;
    bool is_sole_voter() const;

    const region_state& m_state;
    std::map<key, time_point> m_grants;
    mutable std::vector<key> m_voters;
    mutable std::uint64_t m_voters_version = 0;
    mutable std::uint64_t m_lease_version = 0;
    mutable time_point m_lease_until;
};

} // namespace limpet::membership
