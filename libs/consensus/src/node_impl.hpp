/// \file
/// State and steps of a node. The members are defined in several files:
/// node.cpp (events, persistence, applying), node_election.cpp,
/// node_follower.cpp, node_leader.cpp and node_members.cpp.

#pragma once

#include "entry_log.hpp"
#include "membership_history.hpp"

#include <limpet/consensus/node.hpp>

#include <deque>
#include <map>
#include <set>

namespace limpet::consensus
{

/// What a leader knows of one other member.
struct follower_progress
{
    /// Highest entry known to be durable there.
    log_index match;
    /// Next entry to send.
    log_index next;
    /// Whether it is unknown where the logs agree; one message at a time.
    bool probing = true;
    /// Latest round that it answered in this term.
    round_number acked;
    /// Snapshot being sent and the bytes that arrived.
    std::shared_ptr<const storage::snapshot> sending;
    std::uint64_t received = 0;
    time_point chunk_sent_at{};
};

/// Persist request that is not durable yet.
struct pending_persist
{
    persist_number number;
    /// Last entry of the log that becomes durable with it.
    log_index last;
    /// Own vote that counts once durable.
    bool own_vote = false;
    term_number term;
    std::vector<message> held_back;
};

/// A read that waits for proof of leadership.
struct pending_read
{
    ticket id;
    /// The read needs an answer to a later round.
    round_number after;
    log_index index;
};

/// Leadership handover under way.
struct handover
{
    replica_id target;
    time_point deadline;
};

/// Snapshot being received.
struct incoming_snapshot
{
    replica_id from;
    storage::snapshot content;
    std::uint64_t total = 0;
};

class node::impl
{
public:
    impl(const settings& options, node_start start, time_point now);

    actions step(time_point now, event what);
    node_view view(time_point now) const;

    void operator()(const tick& what);
    void operator()(message_received& what);
    void operator()(propose& what);
    void operator()(const change_membership& what);
    void operator()(const read_barrier& what);
    void operator()(const persisted& what);
    void operator()(compact& what);
    void operator()(const hand_over& what);
    void operator()(const contacts_learned& what);

private:
    struct message_handler;

    // Persistence and applying.
    void finish_step();
    bool has_changes() const;
    void hold_back(const replica_id& to, message_body body);
    void send(const replica_id& to, message_body body);
    void append(storage::log_entry entry);
    void truncate_after(log_index index);
    void apply_committed();
    void take_members(const storage::log_entry& entry);
    void compact_log(log_index index);
    bool accepts(const message& content) const;
    bool follows_term(const message& content);

    // Elections.
    void reset_election_deadline();
    bool is_promised_to_leader() const;
    void become_follower(term_number term, std::optional<replica_id> leader);
    bool may_campaign() const;
    void start_trial();
    using leaderless_starts = std::map<replica_id, std::uint64_t>;
    void start_election(bool is_handover,
                        const leaderless_starts& leaderless = {});
    void ask_for_trial_votes();
    bool is_leaderless() const;
    bool is_proven_leaderless(const vote_request& request) const;
    void ask_whether_leaderless();
    void put_off_leaderless_question(duration shortest);
    bool are_all_leaderless() const;
    void note_leaderless(const replica_id& from, const vote_answer& answer);
    void count_vote(const replica_id& from);
    void become_leader();
    void on_vote_request(const message& from, const vote_request& request);
    void on_vote_answer(const message& from, const vote_answer& answer);
    bool is_up_to_date(const vote_request& request) const;

    // Following.
    void hear_leader(const replica_id& leader);
    void on_append(const message& from, append_request& request);
    void store_entries(append_request& request);
    log_index retry_position(log_index previous) const;
    void on_chunk(const message& from, snapshot_chunk& chunk);
    void collect_chunk(const message& from, snapshot_chunk& chunk);
    void install(storage::snapshot content);
    void on_handover(const message& from);

    // Leading.
    void lead();
    void heartbeat();
    void broadcast();
    void replicate(const replica_id& to, follower_progress& progress);
    void send_entries(const replica_id& to, follower_progress& progress);
    void send_heartbeat(const replica_id& to, log_index last);
    void send_chunk_again(const replica_id& to, follower_progress& progress);
    void send_chunk(const replica_id& to, follower_progress& progress);
    void on_append_answer(const message& from, const append_answer& answer);
    void on_snapshot_answer(const message& from, const snapshot_answer& answer);
    void note_round(follower_progress& progress, round_number round) const;
    void advance_commit();
    log_index quorum_match() const;
    round_number quorum_round() const;
    bool is_round_in_time(round_number round, duration span) const;
    bool has_lease() const;
    bool has_committed_in_term() const;
    void answer_reads();
    void continue_handover();
    bool is_founded() const;
    void resign();
    round_number next_round();

    // Members.
    bool can_change_members() const;
    bool is_caught_up(const replica_id& learner) const;
    bool keeps_quorum(const membership& members) const;
    bool propose_change(ticket id, const membership_change& change);
    void on_join(const message& from);
    std::optional<replica_id> lost_voter() const;
    void repair_members();
    void update_followers();
    void ask_to_join();
    void found_group();

    const membership& members() const
    {
        return m_members.current();
    }

    settings m_settings;
    replica_id m_self;
    std::vector<vm_id> m_group;
    bool m_may_found;
    bool m_accepts_any_vm;
    /// VMs outside m_group that may know the group.
    std::set<vm_id> m_contacts;
    std::optional<std::string> m_initial_data;
    random_source m_random;
    time_point m_now;

    storage::hard_state m_hard;
    entry_log m_log;
    membership_history m_members;
    std::shared_ptr<const storage::snapshot> m_snapshot;
    log_index m_committed;
    log_index m_applied;
    /// Last entry of the log that is durable here.
    log_index m_durable;
    std::deque<pending_persist> m_pending;
    persist_number m_last_persist;

    node_role m_role = node_role::follower;
    std::optional<replica_id> m_leader;
    /// No vote is granted before this time plus the election timeout.
    std::optional<time_point> m_heard_leader;
    time_point m_election_deadline;
    std::set<replica_id> m_votes;
    /// This start of the process, and whether it led or followed since.
    std::uint64_t m_start_number;
    time_point m_started_at;
    bool m_has_known_leader = false;
    /// Voters that said they are leaderless since they were asked last.
    leaderless_starts m_leaderless;
    /// Members whose VM runs another incarnation by now.
    std::set<replica_id> m_replaced;
    time_point m_asked_leaderless_at{};
    time_point m_next_leaderless_question{};
    std::optional<incoming_snapshot> m_incoming;

    std::map<replica_id, follower_progress> m_followers;
    log_index m_term_start;
    time_point m_led_since;
    time_point m_next_heartbeat;
    round_number m_last_round;
    /// Once a handover began, another leader may exist at any time.
    bool m_gave_up_lease = false;
    std::optional<handover> m_handover;
    std::map<log_index, ticket> m_proposals;
    std::vector<pending_read> m_reads;

    std::set<vm_id> m_empty_vms;
    time_point m_next_join;

    // Work of the step under way.
    actions m_actions;
    persist_request m_persist;
    std::vector<message> m_held_back;
    bool m_hard_changed = false;
    bool m_own_vote = false;
};

} // namespace limpet::consensus
