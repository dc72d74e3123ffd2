#include "prober.hpp"

#include <algorithm>

namespace limpet::membership
{

namespace
{

constexpr std::size_t piggyback_bytes = 400;
/// One in this many probe periods also contacts a removed router, so that the
/// sides of a former partition find each other again.
constexpr std::uint64_t probes_per_removed_contact = 8;
/// One in this many probes goes to a router of another data centre.
constexpr std::uint64_t probes_per_remote_probe = 3;
constexpr auto lease_renewal_period = seconds(1);

} // namespace

prober::prober(region_state& state, quorum& grants, outbox& out, time_point now)
    : m_state(state),
      m_quorum(grants),
      m_out(out),
      m_next_probe(now),
      m_next_renewal(now)
{
}

void prober::tick(time_point now)
{
    expire_probes(now);
    expire_suspects(now);
    renew_lease(now);
    if (now < m_next_probe)
    {
        return;
    }
    m_next_probe = now + m_state.values().probe_period;
    probe_next(now);
}

void prober::probe_next(time_point now)
{
    ++m_probe_count;
    if (m_probe_count % probes_per_removed_contact == 0)
    {
        contact_removed_router();
    }
    const bool remote = m_probe_count % probes_per_remote_probe == 0;
    auto target = next_target(remote ? m_remote : m_local);
    if (!target)
    {
        target = next_target(remote ? m_local : m_remote);
    }
    if (target)
    {
        probe(*target, now);
    }
}

std::optional<key> prober::next_target(rotation& turn)
{
    if (turn.remaining.empty())
    {
        refill(turn);
    }
    while (!turn.remaining.empty())
    {
        const auto name = turn.remaining.back();
        turn.remaining.pop_back();
        const auto* entry = m_state.find_router(name);
        if (entry != nullptr && entry->record.is_member())
        {
            return name;
        }
    }
    return std::nullopt;
}

void prober::refill(rotation& turn)
{
    const auto& local_data_centre = m_state.self().self.data_centre;
    for (const auto& [name, entry] : m_state.routers())
    {
        const bool local = entry.record.self.data_centre == local_data_centre;
        if (name != m_state.self_key() && entry.record.is_member() &&
            local == turn.is_local)
        {
            turn.remaining.push_back(name);
        }
    }
    for (std::size_t i = turn.remaining.size(); i > 1; --i)
    {
        std::swap(turn.remaining[i - 1],
                  turn.remaining[m_state.random().below(i)]);
    }
}

void prober::contact_removed_router()
{
    std::vector<const stored_router*> removed;
    for (const auto& [name, entry] : m_state.routers())
    {
        if (entry.record.state == router_state::dead)
        {
            removed.push_back(&entry);
        }
    }
    if (removed.empty())
    {
        return;
    }
    const auto& chosen = *removed[m_state.random().below(removed.size())];
    updates changes;
    if (!chosen.is_unconfirmed_seed())
    {
        changes.router_statuses.push_back(
            m_state.status_of(key_of(chosen.record.self.vm), chosen.record));
    }
    m_out.send(chosen.record.self,
               traffic::membership,
               join_request{m_state.self()},
               std::move(changes));
}

void prober::add_recent_changes(const stored_router& to,
                                time_point now,
                                updates& changes) const
{
    const auto& own = *m_state.find_router(m_state.self_key());
    const auto is_recent = [&](const stored_router& entry)
    {
        return now - entry.changed_at < 2 * m_state.values().ownership_lease;
    };
    if (is_recent(own) || is_recent(to))
    {
        // The receiver may not have this router's record yet.
        changes.routers.push_back(own.record);
    }
    // A voter that receives this probe must not renew the lease of a removed
    // router.
    for (const auto voter : m_quorum.voters())
    {
        const auto* entry = m_state.find_router(voter);
        if (entry != nullptr && !entry->is_unconfirmed_seed() &&
            entry->record.state == router_state::dead && is_recent(*entry))
        {
            changes.router_statuses.push_back(
                m_state.status_of(voter, entry->record));
        }
    }
}

std::uint32_t prober::send_ping(const stored_router& to, time_point now)
{
    auto changes = m_state.take_updates(piggyback_bytes, 1);
    add_recent_changes(to, now, changes);
    if (to.record.state != router_state::alive)
    {
        // Allows the target to refute its suspicion or removal.
        changes.router_statuses.push_back(
            m_state.status_of(key_of(to.record.self.vm), to.record));
    }
    const auto sequence = ++m_sequence;
    m_out.send(to.record.self,
               traffic::membership,
               ping{sequence, 0},
               std::move(changes));
    return sequence;
}

void prober::probe(key target, time_point now)
{
    const auto* entry = m_state.find_router(target);
    if (entry == nullptr)
    {
        return;
    }
    const auto sequence = send_ping(*entry, now);
    m_pending_probes[sequence] = {
        target, now, now + m_state.values().probe_timeout, false};
}

void prober::probe_voters(time_point now)
{
    for (const auto voter : m_quorum.voters())
    {
        const auto* entry = m_state.find_router(voter);
        if (voter != m_state.self_key() && entry != nullptr &&
            entry->record.is_member())
        {
            probe(voter, now);
        }
    }
}

void prober::renew_lease(time_point now)
{
    const auto& values = m_state.values();
    const auto until = m_quorum.lease_until();
    if (now < m_next_renewal || (until != time_point::min() &&
                                 until - now > values.ownership_lease / 2))
    {
        return;
    }
    m_next_renewal = now + lease_renewal_period;
    for (const auto voter : m_quorum.voters())
    {
        const auto* entry = m_state.find_router(voter);
        const auto granted = m_quorum.last_grant(voter);
        const bool fresh = granted != time_point::min() &&
                           now - granted < values.ownership_lease / 2;
        if (voter != m_state.self_key() && !fresh && entry != nullptr &&
            entry->record.is_member())
        {
            probe(voter, now);
        }
    }
}

void prober::on_ping(const stored_router& from,
                     const ping& probe,
                     time_point now)
{
    if (probe.target != 0)
    {
        const auto* target = m_state.find_router(probe.target);
        if (target != nullptr)
        {
            const auto sequence = send_ping(*target, now);
            m_relayed_probes[sequence] = {
                key_of(from.record.self.vm),
                probe.sequence,
                probe.target,
                now + 2 * m_state.values().probe_timeout};
        }
        return;
    }
    auto changes = m_state.take_updates(piggyback_bytes, 1);
    if (from.record.state != router_state::alive)
    {
        changes.router_statuses.push_back(
            m_state.status_of(key_of(from.record.self.vm), from.record));
    }
    m_out.send(from.record.self,
               traffic::membership,
               ack{probe.sequence, 0, from.record.is_member(), false},
               std::move(changes));
}

void prober::reject_unknown(const peer& to, const ping& probe)
{
    m_out.send(to, traffic::membership, ack{probe.sequence, 0, false, true});
}

void prober::on_ack(key from, const ack& answer, time_point)
{
    complete_relay(answer.sequence);
    const auto found = m_pending_probes.find(answer.sequence);
    if (found == m_pending_probes.end())
    {
        return;
    }
    const auto& one = found->second;
    const bool direct = answer.subject == 0 && from == one.target;
    if (!direct && answer.subject != one.target)
    {
        return;
    }
    if (direct && answer.granted)
    {
        m_quorum.grant(from, one.sent);
    }
    m_pending_probes.erase(found);
}

void prober::complete_relay(std::uint32_t sequence)
{
    const auto found = m_relayed_probes.find(sequence);
    if (found == m_relayed_probes.end())
    {
        return;
    }
    const auto& one = found->second;
    if (const auto* requester = m_state.find_router(one.requester))
    {
        m_out.send(requester->record.self,
                   traffic::membership,
                   ack{one.sequence, one.subject, false, false});
    }
    m_relayed_probes.erase(found);
}

void prober::expire_probes(time_point now)
{
    std::erase_if(m_relayed_probes,
                  [now](const auto& item)
                  {
                      return item.second.deadline <= now;
                  });
    std::vector<std::uint32_t> timed_out;
    for (const auto& [sequence, one] : m_pending_probes)
    {
        if (one.deadline <= now)
        {
            timed_out.push_back(sequence);
        }
    }
    for (const auto sequence : timed_out)
    {
        auto& one = m_pending_probes.at(sequence);
        if (!one.indirect)
        {
            one.indirect = true;
            one.deadline = now + m_state.values().probe_timeout;
            send_indirect_probes(sequence, one);
            continue;
        }
        suspect(one.target, now);
        m_pending_probes.erase(sequence);
    }
}

void prober::send_indirect_probes(std::uint32_t sequence,
                                  const pending_probe& one)
{
    std::vector<const stored_router*> others;
    for (const auto& [name, entry] : m_state.routers())
    {
        if (name != m_state.self_key() && name != one.target &&
            entry.record.state == router_state::alive)
        {
            others.push_back(&entry);
        }
    }
    const auto count =
        std::min<std::size_t>(others.size(), m_state.values().indirect_probes);
    for (std::size_t i = 0; i < count; ++i)
    {
        std::swap(others[i],
                  others[i + m_state.random().below(others.size() - i)]);
        m_out.send(others[i]->record.self,
                   traffic::membership,
                   ping{sequence, one.target});
    }
}

void prober::suspect(key target, time_point now)
{
    const auto* entry = m_state.find_router(target);
    if (entry != nullptr && entry->record.state == router_state::alive)
    {
        m_state.set_router_state(target, router_state::suspect, now);
    }
}

void prober::expire_suspects(time_point now)
{
    std::vector<key> expired;
    for (const auto& [name, entry] : m_state.routers())
    {
        if (entry.record.state == router_state::suspect &&
            now - entry.changed_at >= m_state.values().suspicion)
        {
            expired.push_back(name);
        }
    }
    for (const auto name : expired)
    {
        m_state.set_router_state(name, router_state::dead, now);
    }
}

} // namespace limpet::membership
