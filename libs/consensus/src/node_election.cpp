#include "node_impl.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpet::consensus
{

namespace
{

/// Replicas that ask one after the other within a leaderless window: each has
/// the time of a tick and of a question to all.
constexpr int places_in_window = 4;

} // namespace

void node::impl::reset_election_deadline()
{
    const duration timeout = m_settings.election_timeout;
    const auto spread = static_cast<std::uint64_t>(timeout.count());
    m_election_deadline = m_now + timeout + duration(m_random.below(spread));
}

/// Whether a leader may hold a lease that counts on this replica's promise to
/// elect no other.
bool node::impl::is_promised_to_leader() const
{
    if (m_role == node_role::leader)
    {
        return true;
    }
    return m_heard_leader &&
           m_now < *m_heard_leader + m_settings.election_timeout;
}

void node::impl::become_follower(term_number term,
                                 std::optional<replica_id> leader)
{
    if (m_role == node_role::leader)
    {
        resign();
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

/// A replica whose removal is not known to be committed may be the only one
/// that can be elected, because no other log is as long as its own.
bool node::impl::may_campaign() const
{
    if (members().is_voter(m_self))
    {
        return true;
    }
    const bool is_committed = m_members.current_index() <= m_committed;
    return !is_committed && m_members.former().is_voter(m_self);
}

void node::impl::start_trial()
{
    m_role = node_role::pre_candidate;
    m_leader.reset();
    m_votes.clear();
    reset_election_deadline();
    ask_for_trial_votes();
    count_vote(m_self);
}

void node::impl::ask_for_trial_votes()
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
        m_held_back.push_back({m_self, id, next, request});
    }
}

/// Whether this replica has neither led nor followed since it started, a while
/// ago. Promises that it made to a leader are older than that.
bool node::impl::is_leaderless() const
{
    return m_role != node_role::leader && !m_has_known_leader &&
           m_hard.term != term_number{} &&
           m_now >= m_started_at + m_settings.leaderless_window;
}

/// Whether the candidate heard from all voters that they are leaderless, this
/// start of this replica among them.
///
/// A lease rests on acknowledgements by a majority. One of these voters would
/// have given its acknowledgement before it started, and so before the
/// candidate asked; but the leader of that time has answered since that it
/// leads no more.
bool node::impl::is_proven_leaderless(const vote_request& request) const
{
    return request.leaderless_start == m_start_number && is_leaderless();
}

/// Asks all voters whether they know a leader. If all machines were lost at
/// once, the promise not to elect another leader binds nobody any more.
void node::impl::ask_whether_leaderless()
{
    m_leaderless.clear();
    m_asked_leaderless_at = m_now;
    put_off_leaderless_question(m_settings.leaderless_window);
    ask_for_trial_votes();
}

/// Spreads the questions, so that one replica is elected before the others
/// ask. Machines that start at one moment are kept apart by their places in
/// the group; the rest is left to chance.
void node::impl::put_off_leaderless_question(duration shortest)
{
    const auto& all = members().members();
    const auto place = std::distance(all.begin(), all.find(m_self));
    const auto step = m_settings.leaderless_window.count() / places_in_window;
    const auto chance =
        static_cast<std::uint64_t>(std::max<std::int64_t>(1, step / 4));
    m_next_leaderless_question = m_now + shortest + duration(step * place) +
                                 duration(m_random.below(chance));
}

/// Whether every voter said so, is this replica, or is gone for good, as its
/// VM has lost its disk.
bool node::impl::are_all_leaderless() const
{
    for (const auto& [id, role] : members().members())
    {
        const bool is_leaderless_voter = id == m_self ||
                                         m_leaderless.contains(id) ||
                                         m_replaced.contains(id);
        if (role == member_role::voter && !is_leaderless_voter)
        {
            return false;
        }
    }
    return true;
}

void node::impl::note_leaderless(const replica_id& from,
                                 const vote_answer& answer)
{
    // Half of the window leaves room for clocks that run at other speeds.
    const bool is_in_time =
        m_now < m_asked_leaderless_at + m_settings.leaderless_window / 2;
    if (!is_in_time || !is_leaderless() || !members().is_voter(from) ||
        !may_campaign())
    {
        return;
    }
    m_leaderless[from] = answer.leaderless_start;
    if (are_all_leaderless())
    {
        put_off_leaderless_question(m_settings.election_timeout);
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
        hold_back(id, request);
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
    m_led_since = m_now;
    m_next_heartbeat = m_now;
    m_gave_up_lease = false;
    m_handover.reset();
    m_incoming.reset();
    m_followers.clear();
    m_proposals.clear();
    m_reads.clear();
    append({advance(m_log.last()),
            m_hard.term,
            storage::entry_kind::empty,
            std::string()});
    m_term_start = m_log.last();
    update_followers();
    heartbeat();
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
    vote_answer answer;
    answer.is_trial = request.is_trial;
    if (request.is_trial)
    {
        answer.granted = from.term > m_hard.term && !is_promised_to_leader() &&
                         is_up_to_date(request);
        if (is_leaderless() && is_up_to_date(request))
        {
            answer.leaderless_start = m_start_number;
            // Leaves the election to the one that asks.
            put_off_leaderless_question(m_settings.leaderless_window);
        }
        const term_number term = answer.granted ? from.term : m_hard.term;
        m_held_back.push_back({m_self, from.from, term, answer});
        return;
    }
    const bool is_free = !m_hard.vote || *m_hard.vote == from.from;
    answer.granted = is_free && is_up_to_date(request);
    if (answer.granted && !m_hard.vote)
    {
        m_hard.vote = from.from;
        m_hard_changed = true;
        reset_election_deadline();
        // An election takes as long as a slow disk.
        put_off_leaderless_question(m_settings.election_timeout);
    }
    hold_back(from.from, answer);
}

void node::impl::on_vote_answer(const message& from, const vote_answer& answer)
{
    if (answer.is_trial && answer.leaderless_start != 0)
    {
        note_leaderless(from.from, answer);
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
