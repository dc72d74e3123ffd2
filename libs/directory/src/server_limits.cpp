#include <limpet/directory/server_limits.hpp>

#include <tuple>

namespace limpet::directory
{

namespace
{

/// Time after the last confirmation at which a limit is removed. By then all
/// routers had turns at the server, and none of them had a request for it.
constexpr duration retention = seconds(600);
/// A confirmation counts as new if it is this much newer than the known one.
/// Times are sent as ages, so that one confirmation seems newer by the time on
/// the way each time it is passed on.
constexpr duration smallest_confirmation = seconds(1);

/// A server that leaves does so for good. Of changes that routers made at the
/// same time, all routers keep the lowest limit, and of equal ones the latest
/// turn.
bool supersedes(const server_limit& a, const server_limit& b)
{
    const auto rank = [](const server_limit& each)
    {
        return std::tuple(each.is_leaving,
                          each.revision,
                          each.is_closed,
                          each.rate.has_value(),
                          -each.rate.value_or(0),
                          each.turn);
    };
    return rank(a) > rank(b);
}

} // namespace

bool is_same_limit(const server_limit& a, const server_limit& b) noexcept
{
    return a.revision == b.revision && a.rate == b.rate && a.turn == b.turn &&
           a.is_leaving == b.is_leaving && a.is_closed == b.is_closed;
}

const server_limit* limit_table::find(std::uint64_t server) const
{
    const auto found = m_limits.find(server);
    return found == m_limits.end() ? nullptr : &found->second;
}

void limit_table::set(const server_limit& limit)
{
    if (m_limits.size() < max_limits || m_limits.contains(limit.server))
    {
        m_limits[limit.server] = limit;
    }
}

bool limit_table::merge(const server_limit& received)
{
    const auto found = m_limits.find(received.server);
    if (found == m_limits.end())
    {
        set(received);
        return true;
    }
    server_limit& known = found->second;
    if (is_same_limit(received, known))
    {
        if (received.confirmed_at > known.confirmed_at + smallest_confirmation)
        {
            known.confirmed_at = received.confirmed_at;
        }
        return false;
    }
    const bool is_newer = supersedes(received, known);
    if (is_newer)
    {
        known = received;
    }
    return is_newer;
}

void limit_table::remove_unconfirmed(time_point now)
{
    std::erase_if(m_limits,
                  [now](const auto& each)
                  {
                      return each.second.confirmed_at + retention <= now;
                  });
}

} // namespace limpet::directory
