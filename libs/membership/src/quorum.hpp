/// \file
/// Grants by which a router knows that no other may have replaced it.

#pragma once

#include "region_state.hpp"

#include <map>

namespace limpet::membership
{

/// Tracks which voters of this router's data centre answered lately that they
/// count this router as a member. The voters are all routers of the data
/// centre, also removed ones that are not forgotten yet, and, if their number
/// is even, one router of another data centre as a tie-breaker.
class quorum
{
public:
    explicit quorum(const region_state& state)
        : m_state(state)
    {
    }

    /// Records a voter's grant for a probe that was sent at the time.
    void grant(key voter, time_point probe_sent);

    /// Returns the voters, this router included.
    const std::vector<key>& voters() const;

    /// Returns whether a majority granted probes sent at or after the time.
    bool granted_since(time_point start) const;

    /// Returns the time up to which this router's lease holds.
    time_point lease_until() const;

    /// Returns the time of the probe that the voter granted last.
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
