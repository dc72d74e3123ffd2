#include "replica_impl.hpp"

#include <limpet/base/log.hpp>
#include <limpet/consensus/message_codec.hpp>

#include <boost/asio/post.hpp>

#include <chrono>
#include <random>

namespace limpet::replica
{

namespace
{

/// Timer ticks per heartbeat interval.
constexpr int ticks_per_heartbeat = 5;

/// Number of election timeouts for which stop() waits until leadership has been
/// transferred.
constexpr int stop_timeouts = 2;

/// Returns the incarnation for a new storage. It must be higher than those of
/// the VM's previous storages, hence the wall clock in nanoseconds.
incarnation new_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto passed =
        std::chrono::duration_cast<std::chrono::nanoseconds>(now);
    return incarnation{static_cast<std::uint64_t>(passed.count())};
}

std::uint64_t random_seed()
{
    constexpr unsigned half = 32;
    std::random_device source;
    return (std::uint64_t{source()} << half) | source();
}

error not_leader_error()
{
    return {error_code::not_leader, "the replica is not the leader"};
}

error unknown_outcome_error()
{
    return {error_code::unavailable,
            "leadership was lost before the command was committed"};
}

error stopped_error()
{
    return {error_code::unavailable,
            "the replica stopped before the request was completed"};
}

} // namespace

replica::impl::impl(boost::asio::io_context& context,
                    replica_settings settings,
                    replica_callbacks callbacks,
                    std::unique_ptr<storage::posix_file_system> files)
    : m_context(context),
      m_timer(context),
      m_settings(std::move(settings)),
      m_callbacks(std::move(callbacks)),
      m_files(std::move(files))
{
}

outcome<std::shared_ptr<replica::impl>>
replica::impl::open(boost::asio::io_context& context,
                    replica_settings settings,
                    replica_callbacks callbacks)
{
    auto files = storage::posix_file_system::open_folder(settings.folder);
    if (!is_ok(files))
    {
        return error_of(files);
    }
    auto result = std::make_shared<impl>(context,
                                         std::move(settings),
                                         std::move(callbacks),
                                         value_of(std::move(files)));
    if (auto opened = result->open_storage(); !is_ok(opened))
    {
        return error_of(opened);
    }
    return result;
}

status check_storage(const std::string& folder)
{
    const auto files = storage::posix_file_system::open_folder(folder);
    if (!is_ok(files))
    {
        return error_of(files);
    }
    storage::recovered_state ignored;
    const auto opened = storage::log_store::open(
        *value_of(files), {}, new_incarnation(), ignored);
    return is_ok(opened) ? success() : status(error_of(opened));
}

status replica::impl::open_storage()
{
    consensus::node_start start_settings;
    auto opened = storage::log_store::open(
        *m_files, {}, new_incarnation(), start_settings.state);
    if (!is_ok(opened))
    {
        return error_of(opened);
    }
    log_event(log_level::info,
              "storage.opened",
              {{"folder", m_settings.folder},
               {"incarnation", start_settings.state.storage.get()},
               {"entries", start_settings.state.entries.size()},
               {"torn_bytes", start_settings.state.torn_bytes}});
    status restored = success();
    if (start_settings.state.base)
    {
        restored = m_callbacks.restore(start_settings.state.base->data);
        m_snapshot = start_settings.state.base->index;
        m_applied = is_ok(restored) ? m_snapshot : log_index{};
    }
    report_stored(start_settings.state.entries);
    start_settings.self = m_settings.self;
    start_settings.group = m_settings.group;
    start_settings.may_found = m_settings.may_found;
    start_settings.accepts_any_vm = m_settings.accepts_any_vm;
    start_settings.initial_data = m_settings.initial_data;
    start_settings.seed = random_seed();
    m_node = std::make_unique<consensus::node>(m_settings.consensus,
                                               std::move(start_settings),
                                               monotonic_clock::now());
    const auto weak_self = weak_from_this();
    auto& context = m_context;
    m_writer = std::make_unique<disk_writer>(
        value_of(std::move(opened)),
        [weak_self, &context](const outcome<consensus::persist_number>& last)
        {
            boost::asio::post(context,
                              [weak_self, last]
                              {
                                  if (const auto self = weak_self.lock())
                                  {
                                      self->on_persisted(last);
                                  }
                              });
        });
    if (!is_ok(restored))
    {
        leave_group(error_of(restored));
    }
    return success();
}

void replica::impl::start()
{
    tick();
}

void replica::impl::tick()
{
    if (m_stopped)
    {
        return;
    }
    report_tick();
    dispatch(consensus::tick{});
    continue_stop();
    schedule_tick();
}

void replica::impl::schedule_tick()
{
    const duration interval =
        m_settings.consensus.heartbeat_interval / ticks_per_heartbeat;
    m_tick_due = monotonic_clock::now() + interval;
    m_timer.expires_after(interval);
    m_timer.async_wait(
        [weak_self = weak_from_this()](const boost::system::error_code& failure)
        {
            const auto self = weak_self.lock();
            if (self && !failure)
            {
                self->m_delays.late = monotonic_clock::now() - self->m_tick_due;
                self->tick();
            }
        });
}

void replica::impl::report_tick()
{
    const tick_delays delays = std::exchange(m_delays, {});
    if (m_callbacks.ticked)
    {
        m_callbacks.ticked(delays);
    }
    log_role_change();
}

/// Logs elections: the roles that this replica takes, and at the end of each
/// the votes that it had.
void replica::impl::log_role_change()
{
    const consensus::node_view state = m_node->view(monotonic_clock::now());
    if (state.role != m_role || state.term != m_term)
    {
        log_event(log_level::info,
                  "role.changed",
                  {{"role", consensus::to_string(state.role)},
                   {"term", state.term.get()},
                   {"was", consensus::to_string(m_role)},
                   {"votes_before", m_votes},
                   {"voters", state.members.voters()}});
    }
    m_role = state.role;
    m_term = state.term;
    m_votes = state.votes;
}

/// Records how long ago a leader sent what the message answers. A round is
/// numbered by its time.
void replica::impl::record_round_trip(const consensus::message& content)
{
    const auto* answer = std::get_if<consensus::append_answer>(&content.body);
    if (answer == nullptr)
    {
        return;
    }
    const auto sent =
        time_point(duration(static_cast<duration::rep>(answer->round.get())));
    m_delays.round_trip =
        std::max(m_delays.round_trip, monotonic_clock::now() - sent);
}

consensus::ticket replica::impl::next_ticket()
{
    m_last_ticket = consensus::ticket{m_last_ticket.get() + 1};
    return m_last_ticket;
}

void replica::impl::propose(std::string command, proposal_callback done)
{
    if (m_stopped || m_stop_done)
    {
        done(not_leader_error());
        return;
    }
    const auto id = next_ticket();
    m_proposals[id] = std::move(done);
    m_batch.push_back({id, std::move(command)});
    if (m_batch.size() > 1)
    {
        return;
    }
    // Commands that arrive in one iteration of the event loop are proposed as
    // one batch and share messages.
    boost::asio::post(m_context,
                      [weak_self = weak_from_this()]
                      {
                          if (const auto self = weak_self.lock())
                          {
                              self->flush_proposals();
                          }
                      });
}

void replica::impl::flush_proposals()
{
    consensus::propose batch;
    batch.proposals.swap(m_batch);
    dispatch(std::move(batch));
}

void replica::impl::add_contacts(std::vector<vm_id> vms)
{
    dispatch(consensus::contacts_learned{std::move(vms)});
}

void replica::impl::read_barrier(status_callback done)
{
    if (m_stopped)
    {
        done(not_leader_error());
        return;
    }
    const auto id = next_ticket();
    m_requests[id] = std::move(done);
    dispatch(consensus::read_barrier{id});
}

void replica::impl::change(consensus::membership_change change,
                           status_callback done)
{
    if (m_stopped)
    {
        done(not_leader_error());
        return;
    }
    const auto id = next_ticket();
    m_requests[id] = std::move(done);
    dispatch(consensus::change_membership{id, std::move(change)});
}

void replica::impl::receive(const vm_id& from,
                            const std::vector<std::uint8_t>& bytes)
{
    auto content = consensus::decode_message(bytes);
    if (!content || content->from.vm != from)
    {
        ++m_malformed;
        log_event(log_level::warn,
                  "replica.message_malformed",
                  {{"from", from.get()}, {"count", m_malformed}});
        return;
    }
    record_round_trip(*content);
    dispatch(consensus::message_received{std::move(*content)});
}

/// Queues the event and processes the queue. Events raised by callbacks are
/// processed after the current one, so that step() is not re-entered.
void replica::impl::dispatch(consensus::event event)
{
    if (m_stopped)
    {
        return;
    }
    m_events.push_back(std::move(event));
    if (m_running)
    {
        return;
    }
    m_running = true;
    while (!m_events.empty() && !m_stopped)
    {
        auto next = std::move(m_events.front());
        m_events.pop_front();
        execute(m_node->step(monotonic_clock::now(), std::move(next)));
    }
    m_running = false;
}

void replica::impl::execute(consensus::actions work)
{
    for (const consensus::persist_request& each : work.persists)
    {
        report_stored(each.entries);
    }
    if (!work.persists.empty())
    {
        m_writes.emplace_back(work.persists.back().number,
                              monotonic_clock::now());
        m_writer->add(std::move(work.persists));
    }
    for (const consensus::message& content : work.sends)
    {
        m_callbacks.send(content.to.vm, consensus::encode_message(content));
    }
    apply(work);
    take_snapshot_if_due();
}

void replica::impl::report_stored(
    const std::vector<storage::log_entry>& entries) const
{
    if (!m_callbacks.stored)
    {
        return;
    }
    for (const storage::log_entry& each : entries)
    {
        if (each.kind == storage::entry_kind::command)
        {
            m_callbacks.stored(each.index, each.data);
        }
    }
}

void replica::impl::apply(const consensus::actions& work)
{
    if (work.restore)
    {
        const status restored = m_callbacks.restore(work.restore->data);
        if (!is_ok(restored))
        {
            leave_group(error_of(restored));
            return;
        }
        m_applied = work.restore->index;
        m_snapshot = m_applied;
    }
    std::map<log_index, std::string> answers;
    for (const storage::log_entry& entry : work.apply)
    {
        m_applied = entry.index;
        if (entry.kind == storage::entry_kind::command)
        {
            answers[entry.index] = m_callbacks.apply(entry.index, entry.data);
        }
    }
    for (const consensus::request_result& result : work.results)
    {
        complete_request(result, std::move(answers[result.index]));
    }
}

void replica::impl::complete_request(const consensus::request_result& result,
                                     std::string text)
{
    const bool done = result.state == consensus::request_state::done;
    const bool refused = result.state == consensus::request_state::refused;
    const error reason = refused ? not_leader_error() : unknown_outcome_error();
    if (auto proposal = m_proposals.extract(result.id))
    {
        if (done)
        {
            proposal.mapped()(proposal_result{result.index, std::move(text)});
        }
        else
        {
            proposal.mapped()(reason);
        }
    }
    if (auto request = m_requests.extract(result.id))
    {
        request.mapped()(done ? success() : status(reason));
    }
}

void replica::impl::take_snapshot_if_due()
{
    const auto applied = m_applied.get() - m_snapshot.get();
    if (applied < m_settings.snapshot_interval_entries)
    {
        return;
    }
    m_snapshot = m_applied;
    m_events.push_back(consensus::compact{m_applied, m_callbacks.save()});
}

void replica::impl::on_persisted(const outcome<consensus::persist_number>& last)
{
    if (!is_ok(last))
    {
        record_write_failure(error_of(last));
        return;
    }
    record_written();
    while (!m_writes.empty() && m_writes.front().first <= value_of(last))
    {
        m_delays.persist = std::max(
            m_delays.persist, monotonic_clock::now() - m_writes.front().second);
        m_writes.pop_front();
    }
    dispatch(consensus::persisted{value_of(last)});
}

/// The writer goes on trying. Until it succeeds, this replica stores and
/// acknowledges nothing.
void replica::impl::record_write_failure(const error& reason)
{
    m_failing_since = monotonic_clock::now();
    ++m_write_failures;
    log_event(log_level::error,
              "storage.write_failed",
              {{"reason", reason.message}, {"count", m_write_failures}});
    dispatch(consensus::storage_changed{false});
}

void replica::impl::record_written()
{
    if (!m_failing_since)
    {
        return;
    }
    log_event(log_level::info,
              "storage.writable",
              {{"failed_ms",
                to_milliseconds(monotonic_clock::now() - *m_failing_since)}});
    m_failing_since.reset();
    dispatch(consensus::storage_changed{true});
}

/// Later entries build on a state that this replica does not have.
void replica::impl::leave_group(const error& reason)
{
    log_event(log_level::error,
              "snapshot.unreadable",
              {{"reason", reason.message},
               {"effect", "this replica takes no part until it is restarted"}});
    m_stopped = true;
    m_timer.cancel();
    fail_all(reason);
}

void replica::impl::fail_all(const error& reason)
{
    const auto proposals = std::move(m_proposals);
    const auto requests = std::move(m_requests);
    m_proposals.clear();
    m_requests.clear();
    const error unknown{error_code::unavailable, reason.message};
    for (const auto& [id, done] : proposals)
    {
        done(unknown);
    }
    for (const auto& [id, done] : requests)
    {
        done(unknown);
    }
}

void replica::impl::stop(status_callback done)
{
    if (m_stopped || m_stop_done)
    {
        done(success());
        return;
    }
    m_stop_done = std::move(done);
    m_stop_deadline = monotonic_clock::now() +
                      stop_timeouts * m_settings.consensus.election_timeout;
    flush_proposals();
    dispatch(consensus::hand_over{});
    continue_stop();
}

void replica::impl::continue_stop()
{
    if (!m_stop_done || m_stopped)
    {
        return;
    }
    const auto now = monotonic_clock::now();
    const consensus::node_view state = m_node->view(now);
    const bool can_hand_over = state.role == consensus::node_role::leader &&
                               state.members.voters() > 1;
    if (can_hand_over && now < m_stop_deadline)
    {
        return;
    }
    m_stopped = true;
    m_timer.cancel();
    // The writer's destructor writes and syncs all queued requests.
    m_writer.reset();
    fail_all(stopped_error());
    const auto done = std::move(m_stop_done);
    m_stop_done = nullptr;
    done(success());
}

void replica::impl::close()
{
    m_stopped = true;
    m_timer.cancel();
    m_writer.reset();
}

replica_view replica::impl::view() const
{
    const consensus::node_view state = m_node->view(monotonic_clock::now());
    replica_view result;
    result.self = state.self;
    result.term = state.term;
    result.is_leader = state.role == consensus::node_role::leader;
    result.has_lease = state.has_lease;
    result.leader = state.leader;
    result.last = state.last;
    result.committed = state.committed;
    // The node's index runs ahead if the state machine cannot read a snapshot.
    result.applied = m_applied;
    result.snapshot = state.snapshot;
    result.is_storage_writable = !m_failing_since;
    result.write_failures = m_write_failures;
    for (const auto& [id, role] : state.members.members())
    {
        const auto match = state.match.find(id);
        const auto stored =
            match == state.match.end() ? log_index{} : match->second;
        result.members.push_back(
            {id, role == consensus::member_role::voter, stored});
    }
    return result;
}

} // namespace limpet::replica
