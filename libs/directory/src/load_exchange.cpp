#include <limpet/directory/load_exchange.hpp>

namespace limpet::directory
{

namespace
{

/// A peer not heard from for this long is forgotten. It sends a message every
/// 500 ms at least.
constexpr duration peer_timeout = seconds(2);
/// One request more or less changes no selection, and most changes are by one.
/// At 10 bytes a count and ten messages a second, a router is sent 6.4 KB/s at
/// most with any number of servers.
constexpr load_limits router_limits{2, 64, 64};
constexpr load_limits replica_limits{1, 1024, 256};

void add(load_counts& sums, const load_counts& counts)
{
    for (const auto& [server, count] : counts)
    {
        sums[server] += count;
    }
}

load_counts without(load_counts sums, const load_counts& counts)
{
    for (const auto& [server, count] : counts)
    {
        set_count(sums, {server, count_of(sums, server) - count});
    }
    return sums;
}

} // namespace

void load_exchange::record(peer& from,
                           const load_update& update,
                           time_point now)
{
    from.exchanged.apply(update);
    from.heard_at = now;
    for (const server_limit& each : update.limits)
    {
        m_limits.merge(each);
    }
    for (const rollout::evidence_row& each : update.evidence)
    {
        m_evidence.merge(each);
    }
}

void load_exchange::record_router(const vm_id& router,
                                  const load_update& update,
                                  time_point now)
{
    record(m_routers[router], update, now);
    for (const rollout::evidence_row& row : update.evidence)
    {
        m_own_evidence.merge(row);
        for (auto& [vm, replica] : m_replicas)
        {
            replica.evidence.merge(row);
        }
    }
}

void load_exchange::record_replica(const vm_id& replica,
                                   const load_update& update,
                                   time_point now)
{
    record(m_replicas[replica], update, now);
}

void load_exchange::on_lost(const vm_id& lost)
{
    for (peers* all : {&m_routers, &m_replicas})
    {
        const auto found = all->find(lost);
        if (found != all->end())
        {
            found->second.exchanged.on_lost();
            found->second.evidence.mark_all_changed();
        }
    }
}

load_counts load_exchange::sum_of(const peers& all)
{
    load_counts sums;
    for (const auto& [vm, each] : all)
    {
        add(sums, each.exchanged.received());
    }
    return sums;
}

void load_exchange::forget_silent(peers& all, time_point now)
{
    std::erase_if(all,
                  [now](const auto& each)
                  {
                      return each.second.heard_at + peer_timeout <= now;
                  });
}

void load_exchange::take_for_replicas(std::vector<addressed_update>& updates,
                                      const std::vector<vm_id>& replicas,
                                      const load_counts& own_sums,
                                      time_point now)
{
    for (const vm_id& vm : replicas)
    {
        const auto [entry, is_new] = m_replicas.try_emplace(vm);
        peer& each = entry->second;
        if (is_new)
        {
            each.heard_at = now;
            for (const rollout::evidence_row& row : m_own_evidence.rows())
            {
                each.evidence.merge(row);
            }
        }
        if (each.exchanged.may_send(now))
        {
            load_update update =
                each.exchanged.take(own_sums, replica_limits, now);
            each.exchanged.add_server_limits(update, m_limits, replica_limits);
            update.evidence = each.evidence.take_changed(max_evidence_rows);
            updates.emplace_back(vm, std::move(update));
        }
    }
}

void load_exchange::take_for_routers(std::vector<addressed_update>& updates,
                                     const load_counts& sums,
                                     time_point now)
{
    for (auto& [vm, each] : m_routers)
    {
        if (each.exchanged.may_send(now))
        {
            const load_counts others = without(sums, each.exchanged.received());
            load_update update =
                each.exchanged.take(others, router_limits, now);
            each.exchanged.add_server_limits(update, m_limits, router_limits);
            updates.emplace_back(vm, std::move(update));
        }
    }
}

load_counts load_exchange::total() const
{
    load_counts sums = sum_of(m_replicas);
    add(sums, sum_of(m_routers));
    return sums;
}

rollout::evidence load_exchange::evidence_of(rollout::rollout_id rollout) const
{
    return m_evidence.sum(rollout);
}

void load_exchange::retain_evidence(
    const std::vector<rollout::rollout_id>& running)
{
    m_evidence.retain(running);
    m_own_evidence.retain(running);
    for (auto& [vm, replica] : m_replicas)
    {
        replica.evidence.retain(running);
    }
}

std::vector<load_exchange::addressed_update>
load_exchange::take_updates(const std::vector<vm_id>& replicas, time_point now)
{
    forget_silent(m_routers, now);
    forget_silent(m_replicas, now);
    m_limits.remove_unconfirmed(now);
    std::vector<addressed_update> updates;
    const load_counts own_sums = sum_of(m_routers);
    take_for_replicas(updates, replicas, own_sums, now);
    load_counts sums = sum_of(m_replicas);
    add(sums, own_sums);
    take_for_routers(updates, sums, now);
    return updates;
}

} // namespace limpet::directory
