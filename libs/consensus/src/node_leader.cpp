#include "node_impl.hpp"

#include <algorithm>
#include <functional>

namespace limpet::consensus
{

namespace
{

std::uint64_t nanoseconds_of(time_point when)
{
    return static_cast<std::uint64_t>(when.time_since_epoch().count());
}

time_point sent_at(round_number round)
{
    return time_point(duration(static_cast<duration::rep>(round.get())));
}

} // namespace

/// Returns a unique number that is at least the current time.
round_number node::impl::next_round()
{
    m_last_round =
        round_number{std::max(nanoseconds_of(m_now), m_last_round.get() + 1)};
    return m_last_round;
}

void node::impl::on_leader_tick()
{
    const time_point contact =
        std::max(m_leader_since, sent_at(quorum_round()));
    if (m_now >= contact + m_settings.election_timeout)
    {
        become_follower(m_hard.term, std::nullopt);
        return;
    }
    if (m_handover && m_now >= m_handover->deadline)
    {
        m_handover.reset();
    }
    if (!m_is_storage_writable)
    {
        (*this)(hand_over{});
    }
    if (m_now >= m_next_heartbeat)
    {
        send_heartbeats();
        continue_handover();
        repair_members();
    }
}

void node::impl::send_heartbeats()
{
    m_next_heartbeat = m_now + m_settings.heartbeat_interval;
    for (auto& [id, progress] : m_followers)
    {
        if (progress.snapshot)
        {
            resend_chunk_or_heartbeat(id, progress);
        }
        else if (progress.next > m_log.base())
        {
            // Sends no entries: while it is unknown where the logs agree, the
            // same entries would be sent with every heartbeat and fill a slow
            // link.
            send_heartbeat(id, previous(progress.next));
        }
        else
        {
            replicate(id, progress);
        }
    }
}

/// Sends missing entries to followers that lack some, and the commit index to
/// the others.
void node::impl::replicate_to_all()
{
    for (auto& [id, progress] : m_followers)
    {
        const bool has_entries = progress.next <= m_log.last();
        if (has_entries)
        {
            replicate(id, progress);
        }
        else if (!progress.probing && !progress.snapshot)
        {
            send_heartbeat(id, previous(progress.next));
        }
    }
}

void node::impl::replicate(const replica_id& to, follower_progress& progress)
{
    if (progress.snapshot)
    {
        return;
    }
    if (progress.next <= m_log.base())
    {
        progress.snapshot = m_snapshot;
        progress.snapshot_bytes_received = 0;
        send_chunk(to, progress);
        return;
    }
    const log_index limit = advance(progress.match, m_settings.window_entries);
    while (!progress.probing && progress.next <= m_log.last() &&
           progress.next <= limit)
    {
        send_entries(to, progress);
    }
}

void node::impl::send_entries(const replica_id& to, follower_progress& progress)
{
    append_request request;
    request.previous = previous(progress.next);
    request.previous_term = *m_log.term_at(request.previous);
    request.committed = m_committed;
    request.round = next_round();
    request.entries = m_log.slice(progress.next, m_settings.append_bytes);
    progress.next = advance(progress.next, request.entries.size());
    send(to, std::move(request));
}

/// Sends an append request without entries, with the log's term at the index.
void node::impl::send_heartbeat(const replica_id& to, log_index last)
{
    append_request request;
    request.previous = last;
    request.previous_term = *m_log.term_at(request.previous);
    request.committed = m_committed;
    request.round = next_round();
    send(to, std::move(request));
}

/// Sends the current chunk of the snapshot again if it was not acknowledged
/// within the election timeout, and a heartbeat otherwise.
void node::impl::resend_chunk_or_heartbeat(const replica_id& to,
                                           follower_progress& progress)
{
    if (m_now >= progress.chunk_sent_at + m_settings.election_timeout)
    {
        send_chunk(to, progress);
        return;
    }
    send_heartbeat(to, m_log.base());
}

void node::impl::send_chunk(const replica_id& to, follower_progress& progress)
{
    const storage::snapshot& source = *progress.snapshot;
    progress.chunk_sent_at = m_now;
    snapshot_chunk chunk;
    chunk.index = source.index;
    chunk.index_term = source.term;
    chunk.offset = progress.snapshot_bytes_received;
    chunk.total = source.data.size();
    chunk.round = next_round();
    if (chunk.offset == 0)
    {
        chunk.membership = source.membership;
    }
    chunk.bytes =
        source.data.substr(chunk.offset, m_settings.snapshot_chunk_bytes);
    send(to, std::move(chunk));
}

void node::impl::record_acked_round(follower_progress& progress,
                                    round_number round) const
{
    progress.acked_round =
        std::max(progress.acked_round, std::min(round, m_last_round));
}

void node::impl::on_append_answer(const message& from,
                                  const append_answer& answer)
{
    const auto found = m_followers.find(from.from);
    if (m_role != node_role::leader || found == m_followers.end())
    {
        return;
    }
    follower_progress& progress = found->second;
    record_acked_round(progress, answer.round);
    if (answer.accepted)
    {
        progress.match = std::max(progress.match, answer.match);
        const log_index following = advance(progress.match);
        progress.next =
            progress.probing ? following : std::max(progress.next, following);
        progress.probing = false;
        if (progress.snapshot && progress.match >= progress.snapshot->index)
        {
            progress.snapshot.reset();
        }
        replicate(from.from, progress);
        advance_commit();
        continue_handover();
        return;
    }
    const log_index hint = std::min(answer.match, m_log.last());
    const log_index retry = advance(std::max(hint, progress.match));
    if (progress.snapshot || (progress.probing && progress.next == retry))
    {
        return;
    }
    progress.probing = true;
    progress.next = retry;
    if (progress.next > m_log.base())
    {
        send_heartbeat(from.from, previous(progress.next));
    }
    else
    {
        replicate(from.from, progress);
    }
}

void node::impl::on_snapshot_answer(const message& from,
                                    const snapshot_answer& answer)
{
    const auto found = m_followers.find(from.from);
    if (m_role != node_role::leader || found == m_followers.end())
    {
        return;
    }
    follower_progress& progress = found->second;
    record_acked_round(progress, answer.round);
    if (!progress.snapshot || progress.snapshot->index != answer.index)
    {
        return;
    }
    const auto total = progress.snapshot->data.size();
    if (answer.received < total)
    {
        const bool moved = answer.received != progress.snapshot_bytes_received;
        progress.snapshot_bytes_received = answer.received;
        if (moved)
        {
            send_chunk(from.from, progress);
        }
        return;
    }
    progress.match = std::max(progress.match, answer.index);
    progress.next = advance(progress.match);
    progress.probing = false;
    progress.snapshot.reset();
    replicate(from.from, progress);
}

/// Returns the highest index that is durable on a quorum of voters.
log_index node::impl::quorum_match() const
{
    std::vector<log_index> matches;
    for (const auto& [id, role] : members().members())
    {
        if (role != member_role::voter)
        {
            continue;
        }
        const auto found = m_followers.find(id);
        matches.push_back(id == m_self ? m_durable : found->second.match);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    return matches[members().quorum() - 1];
}

/// Returns the latest round that a quorum of voters has acknowledged.
round_number node::impl::quorum_round() const
{
    const round_number own{
        std::max(nanoseconds_of(m_now), m_last_round.get() + 1)};
    std::vector<round_number> rounds;
    for (const auto& [id, role] : members().members())
    {
        if (role != member_role::voter)
        {
            continue;
        }
        const auto found = m_followers.find(id);
        rounds.push_back(id == m_self ? own : found->second.acked_round);
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    return rounds[members().quorum() - 1];
}

bool node::impl::is_round_in_time(round_number round, duration span) const
{
    return m_now < sent_at(round) + span;
}

bool node::impl::has_committed_in_term() const
{
    return m_committed >= m_first_index_of_term;
}

bool node::impl::has_lease() const
{
    return !m_lease_revoked && has_committed_in_term() &&
           is_round_in_time(quorum_round(), m_settings.lease());
}

void node::impl::advance_commit()
{
    const log_index agreed = quorum_match();
    // An entry of an earlier term may still be replaced although a quorum holds
    // it. It is committed only together with an entry of this term.
    if (agreed <= m_committed || m_log.term_at(agreed) != m_hard.term)
    {
        return;
    }
    m_committed = agreed;
    replicate_to_all();
    const bool is_removed = !members().is_voter(m_self);
    if (is_removed && m_members.current_index() <= m_committed)
    {
        apply_committed();
        become_follower(m_hard.term, std::nullopt);
    }
}

/// Returns whether the group has at least as many voters as founding VMs. With
/// fewer voters the loss of a disk could lose acknowledged commands, so none
/// are accepted before.
bool node::impl::is_founded() const
{
    return !m_accepts_any_vm || members().voters() >= m_founding_vms.size();
}

void node::impl::operator()(propose& what)
{
    const bool accepts = m_role == node_role::leader && !m_handover &&
                         is_founded() && m_is_storage_writable;
    for (proposal& next : what.proposals)
    {
        if (!accepts)
        {
            m_actions.results.push_back(
                {next.id, request_state::refused, log_index{}});
            continue;
        }
        append({advance(m_log.last()),
                m_hard.term,
                storage::entry_kind::command,
                std::move(next.command)});
        m_proposals[m_log.last()] = next.id;
    }
    if (accepts)
    {
        replicate_to_all();
    }
}

void node::impl::operator()(const read_barrier& what)
{
    if (m_role != node_role::leader)
    {
        m_actions.results.push_back(
            {what.id, request_state::refused, log_index{}});
        return;
    }
    m_reads.push_back({what.id, m_last_round, log_index{}});
    if (!has_lease() && m_reads.size() == 1)
    {
        send_heartbeats();
    }
}

void node::impl::answer_reads()
{
    if (m_role != node_role::leader || !has_committed_in_term())
    {
        return;
    }
    const bool is_leased = has_lease();
    const round_number acked_round = quorum_round();
    const auto is_answered = [&](pending_read& read)
    {
        if (read.index == log_index{})
        {
            read.index = m_committed;
        }
        const bool leads = is_leased || acked_round > read.preceding_round;
        if (!leads || m_applied < read.index)
        {
            return false;
        }
        m_actions.results.push_back({read.id, request_state::done, read.index});
        return true;
    };
    std::erase_if(m_reads, is_answered);
}

void node::impl::operator()(const hand_over&)
{
    if (m_role != node_role::leader || m_handover)
    {
        return;
    }
    std::optional<replica_id> best;
    for (const auto& [id, progress] : m_followers)
    {
        const bool is_alive =
            members().is_voter(id) &&
            is_round_in_time(progress.acked_round, m_settings.election_timeout);
        if (is_alive && (!best || progress.match > m_followers[*best].match))
        {
            best = id;
        }
    }
    if (!best)
    {
        return;
    }
    m_lease_revoked = true;
    m_handover = handover{*best, m_now + m_settings.election_timeout};
    continue_handover();
}

void node::impl::continue_handover()
{
    if (m_role != node_role::leader || !m_handover)
    {
        return;
    }
    const auto found = m_followers.find(m_handover->target);
    const bool ready =
        found != m_followers.end() && found->second.match == m_log.last();
    if (ready)
    {
        send(m_handover->target, handover_request{});
    }
}

/// Ends leadership. Proposals that are not committed yet get the result
/// unknown, since the next leader may still commit them; pending reads are
/// refused.
void node::impl::end_leadership()
{
    for (const auto& [index, id] : m_proposals)
    {
        m_actions.results.push_back({id, request_state::unknown, index});
    }
    for (const pending_read& read : m_reads)
    {
        m_actions.results.push_back(
            {read.id, request_state::refused, log_index{}});
    }
    m_proposals.clear();
    m_reads.clear();
    m_followers.clear();
    m_handover.reset();
}

} // namespace limpet::consensus
