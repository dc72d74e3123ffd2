#include "node_impl.hpp"

#include <algorithm>

namespace limpet::consensus
{

void node::impl::record_leader_contact(const replica_id& leader)
{
    if (m_role != node_role::follower || m_leader != leader)
    {
        become_follower(m_hard.term, leader);
    }
    m_last_leader_contact = m_now;
    m_has_known_leader = true;
    m_empty_vms.clear();
    reset_election_deadline();
}

void node::impl::on_append(const message& from, append_request& request)
{
    record_leader_contact(from.from);
    append_answer answer;
    answer.round = request.round;
    // The committed entries are the same in the log of every leader.
    const bool known = request.previous <= m_committed ||
                       m_log.term_at(request.previous) == request.previous_term;
    if (!known)
    {
        answer.match = retry_position(request.previous);
        send_when_durable(from.from, answer);
        return;
    }
    if (!m_is_storage_writable)
    {
        request.entries.clear();
    }
    answer.accepted = true;
    answer.match = advance(request.previous, request.entries.size());
    store_entries(request);
    const log_index agreed = std::min(request.committed, answer.match);
    m_committed = std::max(m_committed, agreed);
    send_when_durable(from.from, answer);
}

void node::impl::store_entries(append_request& request)
{
    for (storage::log_entry& entry : request.entries)
    {
        if (entry.index <= m_committed ||
            m_log.term_at(entry.index) == entry.term)
        {
            continue;
        }
        if (entry.index <= m_log.last())
        {
            truncate_after(previous(entry.index));
        }
        append(std::move(entry));
    }
}

/// Returns the index that the leader should try next after a mismatch at the
/// position. Skips all entries of the mismatching term at once.
log_index node::impl::retry_position(log_index position) const
{
    if (position > m_log.last())
    {
        return m_log.last();
    }
    const auto mismatching_term = m_log.term_at(position);
    while (position > m_committed &&
           m_log.term_at(position) == mismatching_term)
    {
        position = previous(position);
    }
    return position;
}

void node::impl::on_snapshot_chunk(const message& from, snapshot_chunk& chunk)
{
    record_leader_contact(from.from);
    if (chunk.index <= m_committed)
    {
        append_answer answer;
        answer.accepted = true;
        answer.match = chunk.index;
        answer.round = chunk.round;
        m_incoming.reset();
        send_when_durable(from.from, answer);
        return;
    }
    if (!m_is_storage_writable)
    {
        return;
    }
    append_chunk(from, chunk);
    snapshot_answer answer;
    answer.index = chunk.index;
    answer.round = chunk.round;
    answer.received = m_incoming->content.data.size();
    if (answer.received == m_incoming->total)
    {
        install_snapshot(std::move(m_incoming->content));
        m_incoming.reset();
    }
    send_when_durable(from.from, answer);
}

void node::impl::append_chunk(const message& from, snapshot_chunk& chunk)
{
    const bool continues = m_incoming && m_incoming->from == from.from &&
                           m_incoming->content.index == chunk.index &&
                           m_incoming->content.term == chunk.index_term &&
                           m_incoming->total == chunk.total;
    if (!continues)
    {
        m_incoming.emplace();
        m_incoming->from = from.from;
        m_incoming->total = chunk.total;
        m_incoming->content.index = chunk.index;
        m_incoming->content.term = chunk.index_term;
    }
    std::string& data = m_incoming->content.data;
    if (chunk.offset == 0 && data.empty())
    {
        // A later chunk may have arrived before this one, so the membership is
        // not necessarily set where m_incoming is created.
        m_incoming->content.membership = std::move(chunk.membership);
    }
    const auto room = m_incoming->total - data.size();
    if (chunk.offset == data.size() && chunk.bytes.size() <= room)
    {
        data.append(chunk.bytes);
    }
}

void node::impl::install_snapshot(storage::snapshot content)
{
    m_snapshot = std::make_shared<const storage::snapshot>(std::move(content));
    const log_index index = m_snapshot->index;
    if (m_log.term_at(index) == m_snapshot->term)
    {
        m_log.compact(index);
        m_members.compact(index);
    }
    else
    {
        truncate_after(m_log.base());
        m_log.reset(index, m_snapshot->term);
        auto found = membership::decode(m_snapshot->membership);
        m_members.reset(index, std::move(found).value_or(membership{}));
    }
    m_committed = index;
    m_applied = index;
    m_persist.snapshot = m_snapshot;
    m_actions.restore = m_snapshot;
}

void node::impl::on_handover(const message& from)
{
    const bool from_leader = m_leader && *m_leader == from.from;
    if (from_leader && members().is_voter(m_self) && m_is_storage_writable)
    {
        start_election(true);
    }
}

} // namespace limpet::consensus
