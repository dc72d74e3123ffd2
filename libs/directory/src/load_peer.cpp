#include <limpet/base/hash.hpp>
#include <limpet/directory/load_peer.hpp>

#include <algorithm>
#include <utility>

namespace limpet::directory
{

namespace
{

/// Five intervals; a peer answers within one and the time on the way.
constexpr duration answer_timeout = 5 * load_exchange_period;

/// A count that differs from the one that the peer was sent.
struct count_change
{
    server_load_count count;
    std::uint32_t difference = 0;
};

std::vector<count_change> find_changes(const load_counts& current,
                                       const load_counts& sent,
                                       std::uint32_t smallest)
{
    std::vector<count_change> changes;
    for (const auto& [server, count] : current)
    {
        const std::uint32_t before = count_of(sent, server);
        const std::uint32_t difference =
            count > before ? count - before : before - count;
        if (difference >= smallest)
        {
            changes.push_back({{server, count}, difference});
        }
    }
    for (const auto& [server, count] : sent)
    {
        if (!current.contains(server))
        {
            changes.push_back({{server, 0}, count});
        }
    }
    return changes;
}

} // namespace

std::uint64_t load_key_of(const engine_id& server) noexcept
{
    return stable_hash(server.get());
}

void set_count(load_counts& counts, const server_load_count& count)
{
    if (count.requests == 0)
    {
        counts.erase(count.server);
    }
    else
    {
        counts[count.server] = count.requests;
    }
}

std::uint32_t count_of(const load_counts& counts, std::uint64_t server)
{
    const auto found = counts.find(server);
    return found == counts.end() ? 0 : found->second;
}

bool load_peer::may_send(time_point now) const
{
    return !m_unanswered_since || now >= *m_unanswered_since + answer_timeout;
}

load_update load_peer::take(const load_counts& current,
                            const load_limits& limits,
                            time_point now)
{
    m_unanswered_since = now;
    load_update update;
    update.resets = std::exchange(m_is_reset_due, false);
    update.wants_reset = !m_has_base;
    if (update.resets)
    {
        m_sent.clear();
        m_peer_limits.clear();
    }
    auto changes = find_changes(current, m_sent, limits.smallest_change);
    std::sort(changes.begin(),
              changes.end(),
              [](const count_change& a, const count_change& b)
              {
                  return std::pair(a.difference, a.count.server) >
                         std::pair(b.difference, b.count.server);
              });
    changes.resize(std::min(changes.size(), limits.max_counts));
    update.changed.reserve(changes.size());
    for (const count_change& each : changes)
    {
        set_count(m_sent, each.count);
        update.changed.push_back(each.count);
    }
    return update;
}

void load_peer::add_server_limits(load_update& update,
                                  const limit_table& current,
                                  const load_limits& limits)
{
    std::vector<server_limit> confirmed;
    for (const auto& [server, limit] : current.all())
    {
        const auto sent = m_peer_limits.find(server);
        if (sent == m_peer_limits.end() || !is_same_limit(limit, sent->second))
        {
            update.limits.push_back(limit);
        }
        else if (limit.rate &&
                 limit.confirmed_at >=
                     sent->second.confirmed_at + limit_confirmation_period)
        {
            confirmed.push_back(limit);
        }
    }
    update.limits.insert(
        update.limits.end(), confirmed.begin(), confirmed.end());
    update.limits.resize(
        std::min(update.limits.size(), limits.max_server_limits));
    for (const server_limit& each : update.limits)
    {
        m_peer_limits[each.server] = each;
    }
}

void load_peer::apply(const load_update& update)
{
    m_unanswered_since.reset();
    for (const server_limit& each : update.limits)
    {
        m_peer_limits[each.server] = each;
    }
    m_is_reset_due = m_is_reset_due || update.wants_reset;
    m_has_base = m_has_base || update.resets;
    if (!m_has_base)
    {
        return;
    }
    if (update.resets)
    {
        m_received.clear();
    }
    for (const server_load_count& each : update.changed)
    {
        set_count(m_received, each);
    }
}

void load_peer::on_lost()
{
    m_is_reset_due = true;
}

} // namespace limpet::directory
