#include "node_impl.hpp"

#include <algorithm>

namespace limpet::consensus
{

namespace
{

/// Changes that the leader makes by itself have no requester.
const ticket no_ticket{};

/// Heartbeat intervals between two requests to join.
constexpr int join_intervals = 4;

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
    return is_near && !progress.probing && !progress.sending &&
           is_round_in_time(progress.acked, m_settings.election_timeout);
}

/// Whether a quorum of the given voters answered of late.
bool node::impl::keeps_quorum(const membership& after) const
{
    std::size_t alive = 0;
    for (const auto& [id, role] : after.members())
    {
        const auto found = m_followers.find(id);
        const bool answered =
            found != m_followers.end() &&
            is_round_in_time(found->second.acked, m_settings.election_timeout);
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
    if (!can_change_members() || !after || !is_ready || !keeps_quorum(*after))
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
    broadcast();
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

void node::impl::on_join(const message& from)
{
    const replica_id& id = from.from;
    const bool is_listed =
        m_accepts_any_vm ||
        std::find(m_group.begin(), m_group.end(), id.vm) != m_group.end();
    if (!is_listed || id.vm == m_self.vm)
    {
        return;
    }
    if (members().empty())
    {
        m_empty_vms.insert(id.vm);
        found_group();
        return;
    }
    const bool is_known = members().contains(id) || members().is_superseded(id);
    const auto former = members().other_incarnation(id);
    if (!is_known && former)
    {
        m_replaced.insert(*former);
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

/// Returns the voter that has been silent for longest, if for longer than
/// the limit.
std::optional<replica_id> node::impl::lost_voter() const
{
    const duration limit = m_settings.lost_voter_timeout;
    if (limit == duration::zero() || m_now < m_led_since + limit)
    {
        return std::nullopt;
    }
    std::optional<replica_id> lost;
    round_number last{};
    for (const auto& [id, progress] : m_followers)
    {
        const bool is_silent =
            members().is_voter(id) && !is_round_in_time(progress.acked, limit);
        if (is_silent && (!lost || progress.acked < last))
        {
            lost = id;
            last = progress.acked;
        }
    }
    return lost;
}

void node::impl::operator()(const contacts_learned& what)
{
    m_contacts.insert(what.vms.begin(), what.vms.end());
    m_contacts.erase(m_self.vm);
}

/// Promotes learners that caught up. A former incarnation on the same VM
/// lost its disk and is removed first, so that it never counts as well.
void node::impl::repair_members()
{
    if (!m_settings.automatic_repair || !can_change_members())
    {
        return;
    }
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
            return;
        }
    }
}

void node::impl::ask_to_join()
{
    found_group();
    if (m_now < m_next_join || !members().empty())
    {
        return;
    }
    m_next_join = m_now + join_intervals * m_settings.heartbeat_interval;
    std::set<vm_id> asked(m_group.begin(), m_group.end());
    asked.insert(m_contacts.begin(), m_contacts.end());
    asked.erase(m_self.vm);
    for (const vm_id& vm : asked)
    {
        send({vm, incarnation{}}, join_request{});
    }
}

/// Starts a group if no VM that may belong to one has any state, so that a
/// VM that lost its disk never starts a second group beside the first.
void node::impl::found_group()
{
    const bool is_empty = members().empty() && m_log.last() == log_index{} &&
                          m_hard.term == term_number{};
    const auto is_other = [this](const vm_id& vm)
    {
        return vm != m_self.vm && !m_empty_vms.contains(vm);
    };
    const bool has_unknown =
        std::any_of(m_group.begin(), m_group.end(), is_other);
    const bool is_first =
        m_self.vm == *std::min_element(m_group.begin(), m_group.end());
    if (!m_may_found || !is_empty || has_unknown || !is_first)
    {
        return;
    }
    m_hard.term = term_number{1};
    m_hard_changed = true;
    const std::string founded = membership::founded_by(m_self).encode();
    if (m_initial_data)
    {
        install({log_index{1}, m_hard.term, founded, *m_initial_data});
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
