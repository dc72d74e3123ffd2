#include "node_impl.hpp"

#include <algorithm>

namespace limpet::consensus
{

namespace
{

/// Ticket of changes that the leader makes itself. They have no requester.
const ticket no_ticket{};

/// Number of heartbeat intervals between two join requests.
constexpr int heartbeats_per_join_request = 4;

} // namespace

bool node::impl::can_change_members() const
{
    return m_role == node_role::leader && !m_handover &&
           has_committed_in_term() && m_members.current_index() <= m_committed;
}

bool node::impl::is_caught_up(const replica_id& learner) const
{
    const auto found = m_followers.find(learner);
    if (found == m_followers.end())
    {
        return false;
    }
    const follower_progress& progress = found->second;
    const bool is_near =
        advance(progress.match, m_settings.promotion_lag_entries) >=
        m_log.last();
    return is_near && !progress.probing && !progress.snapshot &&
           is_round_in_time(progress.acked_round, m_settings.election_timeout);
}

/// Returns whether a quorum of the given membership's voters answered within
/// the election timeout.
bool node::impl::has_live_quorum(const membership& after) const
{
    std::size_t alive = 0;
    for (const auto& [id, role] : after.members())
    {
        const auto found = m_followers.find(id);
        const bool answered = found != m_followers.end() &&
                              is_round_in_time(found->second.acked_round,
                                               m_settings.election_timeout);
        if (role == member_role::voter && (id == m_self || answered))
        {
            ++alive;
        }
    }
    return alive >= after.quorum();
}

bool node::impl::propose_change(ticket id, const membership_change& change)
{
    const auto after = members().changed(change);
    const bool is_ready =
        change.kind != change_kind::promote || is_caught_up(change.member);
    if (!can_change_members() || !after || !is_ready ||
        !has_live_quorum(*after))
    {
        return false;
    }
    append({advance(m_log.last()),
            m_hard.term,
            storage::entry_kind::membership,
            after->encode()});
    if (id != no_ticket)
    {
        m_proposals[m_log.last()] = id;
    }
    update_followers();
    replicate_to_all();
    return true;
}

void node::impl::operator()(const change_membership& what)
{
    if (!propose_change(what.id, what.change))
    {
        m_actions.results.push_back(
            {what.id, request_state::refused, log_index{}});
    }
}

void node::impl::update_followers()
{
    const auto is_gone = [this](const auto& follower)
    {
        return !members().contains(follower.first);
    };
    std::erase_if(m_followers, is_gone);
    for (const auto& [id, role] : members().members())
    {
        if (id != m_self && !m_followers.contains(id))
        {
            follower_progress progress;
            progress.next = advance(m_log.last());
            m_followers[id] = progress;
        }
    }
}

void node::impl::on_join(const replica_id& id, const join_request& request)
{
    const bool is_listed =
        m_accepts_any_vm ||
        std::find(m_founding_vms.begin(), m_founding_vms.end(), id.vm) !=
            m_founding_vms.end();
    if (!is_listed || id.vm == m_self.vm)
    {
        return;
    }
    if (members().empty())
    {
        if (!request.has_log)
        {
            m_empty_vms.insert(id.vm);
            found_group();
        }
        return;
    }
    const bool is_known = members().contains(id) || members().is_superseded(id);
    const auto former = members().other_incarnation(id);
    if (!is_known && former)
    {
        m_replaced_members.insert(*former);
    }
    if (!m_settings.automatic_repair || is_known)
    {
        return;
    }
    if (former && !members().is_voter(*former))
    {
        propose_change(no_ticket, {change_kind::remove, *former});
        return;
    }
    propose_change(no_ticket, {change_kind::add_learner, id});
}

/// Returns the voter that has not answered for the longest time, if any has not
/// answered for lost_voter_timeout.
std::optional<replica_id> node::impl::lost_voter() const
{
    const duration limit = m_settings.lost_voter_timeout;
    if (limit == duration::zero() || m_now < m_leader_since + limit)
    {
        return std::nullopt;
    }
    std::optional<replica_id> lost;
    round_number last{};
    for (const auto& [id, progress] : m_followers)
    {
        const bool is_lost = members().is_voter(id) &&
                             !is_round_in_time(progress.acked_round, limit);
        if (is_lost && (!lost || progress.acked_round < last))
        {
            lost = id;
            last = progress.acked_round;
        }
    }
    return lost;
}

void node::impl::operator()(const contacts_learned& what)
{
    m_contacts.insert(what.vms.begin(), what.vms.end());
    m_contacts.erase(m_self.vm);
}

void node::impl::repair_members()
{
    if (m_settings.automatic_repair && can_change_members() &&
        !promote_learner())
    {
        remove_lost_voter();
    }
}

/// Promotes a learner that has caught up. An earlier incarnation on the same VM
/// lost its disk and is removed first, so that the two never vote at the same
/// time. If there is none, a voter that exceeded lost_voter_timeout is removed
/// first. Returns whether a change was proposed.
bool node::impl::promote_learner()
{
    for (const auto& [id, role] : members().members())
    {
        if (role == member_role::voter || !is_caught_up(id))
        {
            continue;
        }
        auto former = members().other_incarnation(id);
        if (!former)
        {
            former = lost_voter();
        }
        const membership_change change =
            former ? membership_change{change_kind::remove, *former}
                   : membership_change{change_kind::promote, id};
        if (propose_change(no_ticket, change))
        {
            return true;
        }
    }
    return false;
}

/// Removes a voter that exceeded lost_voter_timeout. A voter whose VM is gone
/// would otherwise count towards the quorum for good, and the group could not
/// elect a leader after a few replacements and one more loss.
void node::impl::remove_lost_voter()
{
    const auto lost = lost_voter();
    if (lost && members().voters() > m_settings.min_voters)
    {
        propose_change(no_ticket, {change_kind::remove, *lost});
    }
}

/// Returns whether the leader may have removed this replica as lost, in which
/// case it no longer contacts this replica: no leader did for longer than most
/// elections take.
bool node::impl::may_have_been_removed() const
{
    const time_point contact = m_last_leader_contact.value_or(m_started_at);
    return m_settings.lost_voter_timeout != duration::zero() &&
           m_now >= contact + 2 * m_settings.election_timeout;
}

void node::impl::request_join()
{
    if (m_now < m_next_join)
    {
        return;
    }
    m_next_join =
        m_now + heartbeats_per_join_request * m_settings.heartbeat_interval;
    std::set<vm_id> asked(m_founding_vms.begin(), m_founding_vms.end());
    asked.insert(m_contacts.begin(), m_contacts.end());
    for (const auto& [id, role] : members().members())
    {
        asked.insert(id.vm);
    }
    asked.erase(m_self.vm);
    for (const vm_id& vm : asked)
    {
        send({vm, incarnation{}}, join_request{!members().empty()});
    }
}

/// Founds a group if all founding VMs have reported empty storage and this one
/// has the lowest id. A VM that lost its disk therefore never founds a second
/// group beside an existing one.
void node::impl::found_group()
{
    const bool is_empty = members().empty() && m_log.last() == log_index{} &&
                          m_hard.term == term_number{};
    const auto is_unknown = [this](const vm_id& vm)
    {
        return vm != m_self.vm && !m_empty_vms.contains(vm);
    };
    const bool has_unknown =
        std::any_of(m_founding_vms.begin(), m_founding_vms.end(), is_unknown);
    const bool is_lowest =
        m_self.vm ==
        *std::min_element(m_founding_vms.begin(), m_founding_vms.end());
    if (!m_may_found || !is_empty || has_unknown || !is_lowest)
    {
        return;
    }
    m_hard.term = term_number{1};
    m_hard_changed = true;
    const std::string founded = membership::founded_by(m_self).encode();
    if (m_initial_data)
    {
        install_snapshot({log_index{1}, m_hard.term, founded, *m_initial_data});
    }
    else
    {
        append({log_index{1},
                m_hard.term,
                storage::entry_kind::membership,
                founded});
    }
    m_election_deadline = m_now;
}

} // namespace limpet::consensus
