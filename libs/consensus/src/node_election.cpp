#include "node_impl.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpet::consensus
{

namespace
{

/// Number of replicas that can probe one after the other within a leaderless
/// window. Each slot is long enough for a tick and for a probe of all voters.
constexpr int probe_slots_per_window = 4;

} // namespace

void node::impl::reset_election_deadline()
{
    const duration timeout = m_settings.election_timeout;
    const auto spread = static_cast<std::uint64_t>(timeout.count());
    m_election_deadline = m_now + timeout + duration(m_random.below(spread));
}

/// Returns whether this replica must not vote because a leader may hold a
/// lease. The lease relies on a quorum that elects no other leader in the
/// meantime.
bool node::impl::withholds_votes() const
{
    if (m_role == node_role::leader)
    {
        return true;
    }
    return m_last_leader_contact &&
           m_now < *m_last_leader_contact + m_settings.election_timeout;
}

void node::impl::become_follower(term_number term,
                                 std::optional<replica_id> leader)
{
    if (m_role == node_role::leader)
    {
        end_leadership();
    }
    if (m_role != node_role::follower)
    {
        reset_election_deadline();
    }
    if (term > m_hard.term)
    {
        m_hard = {term, std::nullopt};
        m_hard_changed = true;
    }
    m_role = node_role::follower;
    m_leader = std::move(leader);
    m_votes.clear();
}

/// Returns whether this replica may start an election. A replica that is being
/// removed may do so until its commit index covers the removal: no other log
/// may be as long as its own, so that no other replica could be elected.
bool node::impl::may_campaign() const
{
    if (!m_is_storage_writable)
    {
        return false;
    }
    if (members().is_voter(m_self))
    {
        return true;
    }
    const bool is_committed = m_members.current_index() <= m_committed;
    return !is_committed && m_members.previous().is_voter(m_self);
}

void node::impl::start_pre_vote()
{
    m_role = node_role::pre_candidate;
    m_leader.reset();
    m_votes.clear();
    reset_election_deadline();
    request_pre_votes();
    count_vote(m_self);
}

void node::impl::request_pre_votes()
{
    const term_number next{m_hard.term.get() + 1};
    for (const auto& [id, role] : members().members())
    {
        if (id == m_self || role != member_role::voter)
        {
            continue;
        }
        vote_request request;
        request.is_trial = true;
        request.last = m_log.last();
        request.last_term = m_log.last_term();
        m_deferred_sends.push_back({m_self, id, next, request});
    }
}

/// Returns whether this replica has neither led nor followed a leader since it
/// started, at least leaderless_window ago. Any answer of it that a leader's
/// lease relies on was then sent before the start.
bool node::impl::is_leaderless() const
{
    return m_role != node_role::leader && !m_has_known_leader &&
           m_hard.term != term_number{} &&
           m_now >= m_started_at + m_settings.leaderless_window;
}

/// Returns whether all voters that still have their disks have reported to the
/// candidate that they are leaderless, including this start of this replica.
///
/// No leader's lease can then be in force. A lease relies on acknowledgements
/// by a majority. A voter of that majority sent its acknowledgement before its
/// start, hence before the candidate's probe; but that leader, a voter too, has
/// answered the probe since and no longer leads.
bool node::impl::is_proven_leaderless(const vote_request& request) const
{
    return request.leaderless_start == m_start_number && is_leaderless();
}

/// Asks all voters whether they are leaderless. If all VMs were lost at once,
/// no lease is in force, and the voters need not wait for one to expire.
void node::impl::probe_leaderless_voters()
{
    m_leaderless.clear();
    m_leaderless_probe_sent_at = m_now;
    postpone_leaderless_probe(m_settings.leaderless_window);
    request_pre_votes();
}

/// Schedules the next leaderless probe after at least the given time. Spreads
/// the probes of the replicas, so that one replica is elected before the others
/// probe: replicas that start at the same moment probe in the order of the
/// membership, with random jitter.
void node::impl::postpone_leaderless_probe(duration shortest)
{
    const auto& all = members().members();
    const auto slot = std::distance(all.begin(), all.find(m_self));
    const auto slot_length =
        m_settings.leaderless_window.count() / probe_slots_per_window;
    const auto jitter =
        static_cast<std::uint64_t>(std::max<std::int64_t>(1, slot_length / 4));
    m_next_leaderless_probe = m_now + shortest + duration(slot_length * slot) +
                              duration(m_random.below(jitter));
}

/// Returns whether every voter is this replica, has reported that it is
/// leaderless, or will never return because its VM has lost its disk.
bool node::impl::are_all_voters_leaderless() const
{
    for (const auto& [id, role] : members().members())
    {
        const bool is_leaderless_voter = id == m_self ||
                                         m_leaderless.contains(id) ||
                                         m_replaced_members.contains(id);
        if (role == member_role::voter && !is_leaderless_voter)
        {
            return false;
        }
    }
    return true;
}

void node::impl::record_leaderless_voter(const replica_id& from,
                                         const vote_answer& answer)
{
    // Half of the window is a margin for clocks that run at different rates.
    const bool is_in_time =
        m_now < m_leaderless_probe_sent_at + m_settings.leaderless_window / 2;
    if (!is_in_time || !is_leaderless() || !members().is_voter(from) ||
        !may_campaign())
    {
        return;
    }
    m_leaderless[from] = answer.leaderless_start;
    if (are_all_voters_leaderless())
    {
        postpone_leaderless_probe(m_settings.election_timeout);
        start_election(false, std::exchange(m_leaderless, {}));
    }
}

void node::impl::start_election(bool is_handover,
                                const leaderless_starts& leaderless)
{
    m_role = node_role::candidate;
    m_leader.reset();
    m_votes.clear();
    reset_election_deadline();
    m_hard = {term_number{m_hard.term.get() + 1}, m_self};
    m_hard_changed = true;
    m_own_vote = true;
    for (const auto& [id, role] : members().members())
    {
        if (id == m_self || role != member_role::voter)
        {
            continue;
        }
        vote_request request;
        request.is_handover = is_handover;
        const auto known = leaderless.find(id);
        request.leaderless_start =
            known == leaderless.end() ? 0 : known->second;
        request.last = m_log.last();
        request.last_term = m_log.last_term();
        send_when_durable(id, request);
    }
}

void node::impl::count_vote(const replica_id& from)
{
    if (!members().is_voter(from))
    {
        return;
    }
    m_votes.insert(from);
    if (m_votes.size() < members().quorum())
    {
        return;
    }
    if (m_role == node_role::pre_candidate)
    {
        start_election(false);
    }
    else
    {
        become_leader();
    }
}

void node::impl::become_leader()
{
    m_role = node_role::leader;
    m_leader = m_self;
    m_has_known_leader = true;
    m_leader_since = m_now;
    m_next_heartbeat = m_now;
    m_lease_revoked = false;
    m_handover.reset();
    m_incoming.reset();
    m_followers.clear();
    m_proposals.clear();
    m_reads.clear();
    append({advance(m_log.last()),
            m_hard.term,
            storage::entry_kind::empty,
            std::string()});
    m_first_index_of_term = m_log.last();
    update_followers();
    send_heartbeats();
}

bool node::impl::is_up_to_date(const vote_request& request) const
{
    if (request.last_term != m_log.last_term())
    {
        return request.last_term > m_log.last_term();
    }
    return request.last >= m_log.last();
}

void node::impl::on_vote_request(const message& from,
                                 const vote_request& request)
{
    if (!m_is_storage_writable)
    {
        return;
    }
    vote_answer answer;
    answer.is_trial = request.is_trial;
    if (request.is_trial)
    {
        answer.granted = from.term > m_hard.term && !withholds_votes() &&
                         is_up_to_date(request);
        if (is_leaderless() && is_up_to_date(request))
        {
            answer.leaderless_start = m_start_number;
            // Leaves the election to the requester.
            postpone_leaderless_probe(m_settings.leaderless_window);
        }
        const term_number term = answer.granted ? from.term : m_hard.term;
        m_deferred_sends.push_back({m_self, from.from, term, answer});
        return;
    }
    const bool is_free = !m_hard.vote || *m_hard.vote == from.from;
    answer.granted = is_free && is_up_to_date(request);
    if (answer.granted && !m_hard.vote)
    {
        m_hard.vote = from.from;
        m_hard_changed = true;
        reset_election_deadline();
        // An election includes a write to the disk, which may be slow.
        postpone_leaderless_probe(m_settings.election_timeout);
    }
    send_when_durable(from.from, answer);
}

void node::impl::on_vote_answer(const message& from, const vote_answer& answer)
{
    if (answer.is_trial && answer.leaderless_start != 0)
    {
        record_leaderless_voter(from.from, answer);
    }
    if (!answer.granted)
    {
        return;
    }
    const term_number trial_term{m_hard.term.get() + 1};
    const bool is_current =
        answer.is_trial
            ? m_role == node_role::pre_candidate && from.term == trial_term
            : m_role == node_role::candidate && from.term == m_hard.term;
    if (is_current)
    {
        count_vote(from.from);
    }
}

} // namespace limpet::consensus
