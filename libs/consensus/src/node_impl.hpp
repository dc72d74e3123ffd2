/// \file
/// Implementation of a node. The member functions are defined in several files:
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

/// A leader's replication state of one other member.
struct follower_progress
{
    /// Highest index known to be durable on the member.
    log_index match;
    /// Index of the next entry to send.
    log_index next;
    /// Whether the last index at which the logs agree is unknown. Until it is
    /// known, the leader sends one message at a time and no entries.
    bool probing = true;
    /// Latest round that the member acknowledged in this term.
    round_number acked_round;
    /// Snapshot that is being sent, or null, and its contiguous bytes that the
    /// member has received.
    std::shared_ptr<const storage::snapshot> snapshot;
    std::uint64_t snapshot_bytes_received = 0;
    time_point chunk_sent_at{};
};

/// A persist request that is not durable yet.
struct pending_persist
{
    persist_number number;
    /// Index of the last log entry that becomes durable with the request.
    log_index last;
    /// Whether the request stores this replica's vote for itself, which counts
    /// once it is durable, and the term of the vote.
    bool own_vote = false;
    term_number term;
    /// Messages to send once the request is durable.
    std::vector<message> deferred_sends;
};

/// A read that waits for proof that this replica still leads.
struct pending_read
{
    ticket id;
    /// Latest round before the read. Only answers to later rounds are proof.
    round_number preceding_round;
    /// Index that must be applied before the read; 0 until it is known.
    log_index index;
};

/// A transfer of leadership in progress.
struct handover
{
    replica_id target;
    time_point deadline;
};

/// A snapshot that is being received.
struct incoming_snapshot
{
    replica_id from;
    storage::snapshot content;
    /// Size of the snapshot's data in bytes.
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
    void operator()(const storage_changed& what);
    void operator()(compact& what);
    void operator()(const hand_over& what);
    void operator()(const contacts_learned& what);

private:
    struct message_handler;

    // Persistence and application of entries.
    void finish_step();
    bool has_changes() const;
    void send_when_durable(const replica_id& to, message_body body);
    void send(const replica_id& to, message_body body);
    void append(storage::log_entry entry);
    void truncate_after(log_index index);
    void apply_committed();
    void adopt_membership(const storage::log_entry& entry);
    void compact_log(log_index index);
    bool accepts(const message& content) const;
    bool reconcile_term(const message& content);

    // Elections.
    void reset_election_deadline();
    bool withholds_votes() const;
    void become_follower(term_number term, std::optional<replica_id> leader);
    bool may_campaign() const;
    void start_pre_vote();
    using leaderless_starts = std::map<replica_id, std::uint64_t>;
    void start_election(bool is_handover,
                        const leaderless_starts& leaderless = {});
    void request_pre_votes();
    bool is_leaderless() const;
    bool is_proven_leaderless(const vote_request& request) const;
    void probe_leaderless_voters();
    void postpone_leaderless_probe(duration shortest);
    bool are_all_voters_leaderless() const;
    void record_leaderless_voter(const replica_id& from,
                                 const vote_answer& answer);
    void count_vote(const replica_id& from);
    void become_leader();
    void on_vote_request(const message& from, const vote_request& request);
    void on_vote_answer(const message& from, const vote_answer& answer);
    bool is_up_to_date(const vote_request& request) const;

    // Following.
    void record_leader_contact(const replica_id& leader);
    void on_append(const message& from, append_request& request);
    void store_entries(append_request& request);
    log_index retry_position(log_index previous) const;
    void on_snapshot_chunk(const message& from, snapshot_chunk& chunk);
    void append_chunk(const message& from, snapshot_chunk& chunk);
    void install_snapshot(storage::snapshot content);
    void on_handover(const message& from);

    // Leading.
    void on_leader_tick();
    void send_heartbeats();
    void replicate_to_all();
    void replicate(const replica_id& to, follower_progress& progress);
    void send_entries(const replica_id& to, follower_progress& progress);
    void send_heartbeat(const replica_id& to, log_index last);
    void resend_chunk_or_heartbeat(const replica_id& to,
                                   follower_progress& progress);
    void send_chunk(const replica_id& to, follower_progress& progress);
    void on_append_answer(const message& from, const append_answer& answer);
    void on_snapshot_answer(const message& from, const snapshot_answer& answer);
    void record_acked_round(follower_progress& progress,
                            round_number round) const;
    void advance_commit();
    log_index quorum_match() const;
    round_number quorum_round() const;
    bool is_round_in_time(round_number round, duration span) const;
    bool has_lease() const;
    bool has_committed_in_term() const;
    void answer_reads();
    void continue_handover();
    bool is_founded() const;
    void end_leadership();
    round_number next_round();

    // Membership.
    bool can_change_members() const;
    bool is_caught_up(const replica_id& learner) const;
    bool has_live_quorum(const membership& members) const;
    bool propose_change(ticket id, const membership_change& change);
    void on_join(const replica_id& from, const join_request& request);
    std::optional<replica_id> lost_voter() const;
    void repair_members();
    bool promote_learner();
    void remove_lost_voter();
    void update_followers();
    bool may_have_been_removed() const;
    void request_join();
    void found_group();

    const membership& members() const
    {
        return m_members.current();
    }

    settings m_settings;
    replica_id m_self;
    std::vector<vm_id> m_founding_vms;
    bool m_may_found;
    bool m_accepts_any_vm;
    /// VMs not in m_founding_vms that may belong to the group.
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
    /// Index of the last log entry that is durable on this replica.
    log_index m_durable;
    std::deque<pending_persist> m_pending;
    persist_number m_last_persist;
    bool m_is_storage_writable = true;

    node_role m_role = node_role::follower;
    std::optional<replica_id> m_leader;
    /// Time of the last contact with a leader. No vote is granted until the
    /// election timeout has passed since then.
    std::optional<time_point> m_last_leader_contact;
    time_point m_election_deadline;
    std::set<replica_id> m_votes;
    /// Random number of this start of the process, the time of the start, and
    /// whether this replica has led or followed a leader since.
    std::uint64_t m_start_number;
    time_point m_started_at;
    bool m_has_known_leader = false;
    /// Voters that answered the last leaderless probe, with the numbers of
    /// their starts.
    leaderless_starts m_leaderless;
    /// Members whose VM has asked to join under another incarnation.
    std::set<replica_id> m_replaced_members;
    time_point m_leaderless_probe_sent_at{};
    time_point m_next_leaderless_probe{};
    std::optional<incoming_snapshot> m_incoming;

    std::map<replica_id, follower_progress> m_followers;
    log_index m_first_index_of_term;
    time_point m_leader_since;
    time_point m_next_heartbeat;
    round_number m_last_round;
    /// Whether a handover has begun. Another leader may then exist at any time.
    bool m_lease_revoked = false;
    std::optional<handover> m_handover;
    std::map<log_index, ticket> m_proposals;
    std::vector<pending_read> m_reads;

    /// VMs that have reported empty storage.
    std::set<vm_id> m_empty_vms;
    time_point m_next_join;

    // Results of the current step.
    actions m_actions;
    persist_request m_persist;
    std::vector<message> m_deferred_sends;
    bool m_hard_changed = false;
    bool m_own_vote = false;
};

} // namespace limpet::consensus
