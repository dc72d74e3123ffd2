#include "quorum.hpp"

#include <algorithm>

namespace limpet::membership
{

void quorum::grant(key voter, time_point probe_sent)
{
    auto& last = m_grants[voter];
    last = std::max(last, probe_sent);
    m_lease_version = 0;
}

const std::vector<key>& quorum::voters() const
{
    if (m_voters_version != m_state.routers_version())
    {
        refresh_voters();
        m_voters_version = m_state.routers_version();
    }
    return m_voters;
}

void quorum::refresh_voters() const
{
    m_voters.clear();
    const auto& local_data_centre = m_state.self().self.data_centre;
    const auto data_centre_key = stable_hash(local_data_centre.get());
    key tie_breaker = 0;
    std::uint64_t highest = 0;
    for (const auto& [name, entry] : m_state.routers())
    {
        const auto& record = entry.record;
        if (record.self.data_centre == local_data_centre)
        {
            if (record.state != router_state::left)
            {
                m_voters.push_back(name);
            }
            continue;
        }
        const auto score = combine_hashes(data_centre_key, name);
        if (record.is_member() && score >= highest)
        {
            highest = score;
            tie_breaker = name;
        }
    }
    if (m_voters.size() % 2 == 0 && tie_breaker != 0)
    {
        m_voters.push_back(tie_breaker);
    }
}

bool quorum::granted_since(time_point start) const
{
    std::size_t granted = 0;
    for (const auto voter : voters())
    {
        const bool own = voter == m_state.self_key();
        if (own || last_grant(voter) >= start)
        {
            ++granted;
        }
    }
    return 2 * granted > voters().size();
}

time_point quorum::last_grant(key voter) const
{
    const auto found = m_grants.find(voter);
    return found == m_grants.end() ? time_point::min() : found->second;
}

bool quorum::is_sole_voter() const
{
    return voters().size() <= 1;
}

time_point quorum::lease_until() const
{
    if (m_lease_version != m_state.routers_version())
    {
        m_lease_until = compute_lease();
        m_lease_version = m_state.routers_version();
    }
    return m_lease_until;
}

time_point quorum::compute_lease() const
{
    if (is_sole_voter())
    {
        return time_point::max();
    }
    std::vector<time_point> grants;
    for (const auto voter : voters())
    {
        if (voter != m_state.self_key())
        {
            grants.push_back(last_grant(voter));
        }
    }
    // With n voters, the (n/2)th latest grant and the router's own vote form a
    // majority. The lease expires with the oldest grant of that majority.
    const auto needed = voters().size() / 2;
    std::ranges::sort(grants, std::greater<>());
    const auto decisive = grants[needed - 1];
    return decisive == time_point::min()
               ? decisive
               : decisive + m_state.values().ownership_lease;
}

} // namespace limpet::membership
