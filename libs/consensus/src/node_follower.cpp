#include "node_impl.hpp"

#include <algorithm>

namespace limpet::consensus
{

void node::impl::hear_leader(const replica_id& leader)
{
    if (m_role != node_role::follower || m_leader != leader)
    {
        become_follower(m_hard.term, leader);
    }
    m_heard_leader = m_now;
    m_has_known_leader = true;
    m_empty_vms.clear();
    reset_election_deadline();
}

void node::impl::on_append(const message& from, append_request& request)
{
    hear_leader(from.from);
    append_answer answer;
    answer.round = request.round;
    // All committed entries are the same at every leader.
    const bool known = request.previous <= m_committed ||
                       m_log.term_at(request.previous) == request.previous_term;
    if (!known)
    {
        answer.match = retry_position(request.previous);
        hold_back(from.from, answer);
        return;
    }
    answer.accepted = true;
    answer.match = advance(request.previous, request.entries.size());
    store_entries(request);
    const log_index agreed = std::min(request.committed, answer.match);
    m_committed = std::max(m_committed, agreed);
    hold_back(from.from, answer);
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

/// Returns the last position before the one that does not match at which the
/// logs may match: none of the mismatching term's entries are tried.
log_index node::impl::retry_position(log_index position) const
{
    if (position > m_log.last())
    {
        return m_log.last();
    }
    const auto wrong = m_log.term_at(position);
    while (position > m_committed && m_log.term_at(position) == wrong)
    {
        position = previous(position);
    }
    return position;
}

void node::impl::on_chunk(const message& from, snapshot_chunk& chunk)
{
    hear_leader(from.from);
    if (chunk.index <= m_committed)
    {
        append_answer answer;
        answer.accepted = true;
        answer.match = chunk.index;
        answer.round = chunk.round;
        m_incoming.reset();
        hold_back(from.from, answer);
        return;
    }
    collect_chunk(from, chunk);
    snapshot_answer answer;
    answer.index = chunk.index;
    answer.round = chunk.round;
    answer.received = m_incoming->content.data.size();
    if (answer.received == m_incoming->total)
    {
        install(std::move(m_incoming->content));
        m_incoming.reset();
    }
    hold_back(from.from, answer);
}

void node::impl::collect_chunk(const message& from, snapshot_chunk& chunk)
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
        // A later chunk may arrive before this one.
        m_incoming->content.membership = std::move(chunk.membership);
    }
    const auto room = m_incoming->total - data.size();
    if (chunk.offset == data.size() && chunk.bytes.size() <= room)
    {
        data.append(chunk.bytes);
    }
}

void node::impl::install(storage::snapshot content)
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
    if (from_leader && members().is_voter(m_self))
    {
        start_election(true);
    }
}

} // namespace limpet::consensus
