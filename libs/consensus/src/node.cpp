#include "node_impl.hpp"

#include <algorithm>

namespace limpet::consensus
{

/// Passes a received message to the handler of its type.
struct node::impl::message_handler
{
    node::impl& self;
    message& from;

    void operator()(const vote_request& body) const
    {
        self.on_vote_request(from, body);
    }

    void operator()(const vote_answer& body) const
    {
        self.on_vote_answer(from, body);
    }

    void operator()(append_request& body) const
    {
        self.on_append(from, body);
    }

    void operator()(const append_answer& body) const
    {
        self.on_append_answer(from, body);
    }

    void operator()(snapshot_chunk& body) const
    {
        self.on_snapshot_chunk(from, body);
    }

    void operator()(const snapshot_answer& body) const
    {
        self.on_snapshot_answer(from, body);
    }

    void operator()(const handover_request&) const
    {
        self.on_handover(from);
    }

    void operator()(const join_request& body) const
    {
        self.on_join(from.from, body);
    }
};

namespace
{

log_index base_index(const storage::recovered_state& state)
{
    return state.base ? state.base->index : log_index{};
}

term_number base_term(const storage::recovered_state& state)
{
    return state.base ? state.base->term : term_number{};
}

} // namespace

node::node(const settings& options, node_start start, time_point now)
    : m_impl(std::make_unique<impl>(options, std::move(start), now))
{
}

node::~node() = default;
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;

actions node::step(time_point now, event what)
{
    return m_impl->step(now, std::move(what));
}

std::string_view to_string(node_role role)
{
    switch (role)
    {
    case node_role::follower:
        return "follower";
    case node_role::pre_candidate:
        return "pre_candidate";
    case node_role::candidate:
        return "candidate";
    case node_role::leader:
        return "leader";
    }
    return "unknown";
}

node_view node::view(time_point now) const
{
    return m_impl->view(now);
}

node::impl::impl(const settings& options, node_start start, time_point now)
    : m_settings(options),
      m_self{start.self, start.state.storage},
      m_founding_vms(std::move(start.group)),
      m_may_found(start.may_found),
      m_accepts_any_vm(start.accepts_any_vm),
      m_initial_data(std::move(start.initial_data)),
      m_random(start.seed),
      m_now(now),
      m_hard(start.state.hard),
      m_log(
          base_index(start.state), base_term(start.state), start.state.entries),
      m_committed(base_index(start.state)),
      m_applied(m_committed),
      m_durable(m_log.last()),
      m_next_join(now)
{
    if (start.state.base)
    {
        m_snapshot = std::make_shared<const storage::snapshot>(
            std::move(*start.state.base));
        auto found = membership::decode(m_snapshot->membership);
        m_members.reset(m_snapshot->index,
                        std::move(found).value_or(membership{}));
    }
    for (const storage::log_entry& entry : start.state.entries)
    {
        adopt_membership(entry);
    }
    if (m_hard.term != term_number{})
    {
        // A leader's lease may rely on an answer that this replica sent before
        // the restart, so no vote is granted for the election timeout.
        m_last_leader_contact = now;
    }
    reset_election_deadline();
    m_start_number = m_random.next() | 1U;
    m_started_at = now;
    postpone_leaderless_probe(m_settings.leaderless_window);
}

actions node::impl::step(time_point now, event what)
{
    m_now = std::max(m_now, now);
    m_actions = actions{};
    std::visit(*this, what);
    apply_committed();
    answer_reads();
    finish_step();
    return std::move(m_actions);
}

node_view node::impl::view(time_point) const
{
    node_view result;
    result.self = m_self;
    result.role = m_role;
    result.term = m_hard.term;
    result.leader = m_leader;
    result.has_lease = m_role == node_role::leader && has_lease();
    result.votes = m_votes.size();
    result.last = m_log.last();
    result.committed = m_committed;
    result.applied = m_applied;
    result.snapshot = m_snapshot ? m_snapshot->index : log_index{};
    result.members = members();
    if (m_role == node_role::leader)
    {
        result.match[m_self] = m_durable;
        for (const auto& [id, progress] : m_followers)
        {
            result.match[id] = progress.match;
        }
    }
    return result;
}

void node::impl::operator()(const tick&)
{
    if (members().empty() && m_is_storage_writable)
    {
        found_group();
    }
    if (members().empty())
    {
        request_join();
        return;
    }
    if (m_role == node_role::leader)
    {
        on_leader_tick();
        return;
    }
    if (may_have_been_removed())
    {
        request_join();
    }
    if (m_now >= m_election_deadline && may_campaign())
    {
        start_pre_vote();
    }
    else if (m_now >= m_next_leaderless_probe && is_leaderless() &&
             may_campaign())
    {
        probe_leaderless_voters();
    }
}

void node::impl::operator()(message_received& what)
{
    message& content = what.content;
    if (!accepts(content) || !reconcile_term(content))
    {
        return;
    }
    std::visit(message_handler{*this, content}, content.body);
}

/// Returns whether the message is addressed to this incarnation and its sender
/// has not been superseded. A join request needs to match the VM only.
bool node::impl::accepts(const message& content) const
{
    if (std::holds_alternative<join_request>(content.body))
    {
        return content.to.vm == m_self.vm;
    }
    return content.to == m_self && !members().is_superseded(content.from);
}

/// Adopts the message's term if it is higher and answers the message if its
/// term is lower. Returns whether the message is to be handled.
bool node::impl::reconcile_term(const message& content)
{
    const auto* vote = std::get_if<vote_request>(&content.body);
    const auto* answer = std::get_if<vote_answer>(&content.body);
    const bool is_trial = (vote && vote->is_trial) ||
                          (answer && answer->is_trial && answer->granted);
    if (is_trial || std::holds_alternative<join_request>(content.body))
    {
        return true;
    }
    if (vote && !vote->is_handover && !is_proven_leaderless(*vote) &&
        withholds_votes())
    {
        return false;
    }
    if (content.term > m_hard.term)
    {
        become_follower(content.term, std::nullopt);
    }
    const bool is_leaderless_answer = answer && answer->leaderless_start != 0;
    if (content.term == m_hard.term || is_leaderless_answer)
    {
        return true;
    }
    // The answer carries the current term, so that an outdated leader or
    // candidate steps down.
    if (vote)
    {
        send_when_durable(content.from, vote_answer{});
    }
    else if (std::holds_alternative<append_request>(content.body) ||
             std::holds_alternative<snapshot_chunk>(content.body))
    {
        send_when_durable(content.from, append_answer{});
    }
    return false;
}

void node::impl::operator()(const persisted& what)
{
    while (!m_pending.empty() && m_pending.front().number <= what.last)
    {
        pending_persist done = std::move(m_pending.front());
        m_pending.pop_front();
        m_durable = std::max(m_durable, done.last);
        for (message& held : done.deferred_sends)
        {
            m_actions.sends.push_back(std::move(held));
        }
        const bool counts = done.own_vote && done.term == m_hard.term;
        if (counts && m_role == node_role::candidate)
        {
            count_vote(m_self);
        }
    }
    if (m_role == node_role::leader)
    {
        advance_commit();
    }
}

void node::impl::operator()(const storage_changed& what)
{
    m_is_storage_writable = what.is_writable;
    if (what.is_writable)
    {
        return;
    }
    if (m_role == node_role::leader)
    {
        (*this)(hand_over{});
    }
    else if (m_role != node_role::follower)
    {
        become_follower(m_hard.term, std::nullopt);
    }
}

void node::impl::operator()(compact& what)
{
    const auto known = m_log.term_at(what.index);
    const bool newer = !m_snapshot || what.index > m_snapshot->index;
    if (!known || !newer || what.index > m_applied || !m_is_storage_writable)
    {
        return;
    }
    storage::snapshot taken;
    taken.index = what.index;
    taken.term = *known;
    taken.membership = m_members.at(what.index).encode();
    taken.data = std::move(what.data);
    m_snapshot = std::make_shared<const storage::snapshot>(std::move(taken));
    m_persist.snapshot = m_snapshot;
    compact_log(m_snapshot->index);
}

/// Compacts the log up to trailing_entries entries before the index.
void node::impl::compact_log(log_index index)
{
    if (index.get() <= m_settings.trailing_entries)
    {
        return;
    }
    const log_index kept{index.get() - m_settings.trailing_entries};
    m_log.compact(kept);
    m_members.compact(kept);
}

/// Sends the message once everything that this step and earlier ones persist is
/// durable.
void node::impl::send_when_durable(const replica_id& to, message_body body)
{
    m_deferred_sends.push_back({m_self, to, m_hard.term, std::move(body)});
}

void node::impl::send(const replica_id& to, message_body body)
{
    m_actions.sends.push_back({m_self, to, m_hard.term, std::move(body)});
}

void node::impl::append(storage::log_entry entry)
{
    adopt_membership(entry);
    m_persist.entries.push_back(entry);
    m_log.append(std::move(entry));
}

/// Puts the membership in force if the entry sets one.
void node::impl::adopt_membership(const storage::log_entry& entry)
{
    if (entry.kind != storage::entry_kind::membership)
    {
        return;
    }
    if (auto found = membership::decode(entry.data))
    {
        m_members.add(entry.index, std::move(*found));
    }
}

void node::impl::truncate_after(log_index index)
{
    m_log.truncate_after(index);
    m_members.truncate_after(index);
    m_durable = std::min(m_durable, index);
    for (pending_persist& pending : m_pending)
    {
        pending.last = std::min(pending.last, index);
    }
}

void node::impl::apply_committed()
{
    const log_index until = std::min(m_committed, m_durable);
    while (m_applied < until)
    {
        m_applied = advance(m_applied);
        m_actions.apply.push_back(m_log.at(m_applied));
        const auto waiting = m_proposals.find(m_applied);
        if (waiting != m_proposals.end())
        {
            m_actions.results.push_back(
                {waiting->second, request_state::done, m_applied});
            m_proposals.erase(waiting);
        }
    }
}

bool node::impl::has_changes() const
{
    return m_hard_changed || !m_persist.entries.empty() || m_persist.snapshot;
}

/// Issues a persist request if the step changed durable state, and queues the
/// deferred messages behind the latest persist request that is not durable.
void node::impl::finish_step()
{
    if (has_changes())
    {
        if (m_hard_changed)
        {
            m_persist.hard = m_hard;
        }
        m_last_persist = persist_number{m_last_persist.get() + 1};
        m_persist.number = m_last_persist;
        pending_persist pending;
        pending.number = m_last_persist;
        pending.last = m_log.last();
        pending.own_vote = m_own_vote;
        pending.term = m_hard.term;
        m_pending.push_back(std::move(pending));
        m_actions.persists.push_back(std::move(m_persist));
    }
    if (!m_is_storage_writable && !m_pending.empty())
    {
        // The messages would pile up while writes fail. Their receivers repeat
        // what they wait for.
        m_deferred_sends.clear();
    }
    auto& target =
        m_pending.empty() ? m_actions.sends : m_pending.back().deferred_sends;
    std::move(m_deferred_sends.begin(),
              m_deferred_sends.end(),
              std::back_inserter(target));
    m_deferred_sends.clear();
    m_persist = persist_request{};
    m_hard_changed = false;
    m_own_vote = false;
}

} // namespace limpet::consensus
