#include "departure_recorder.hpp"

#include "call_ids.hpp"
#include "control_state.hpp"

#include <limpet/base/log.hpp>

#include <algorithm>
#include <iterator>

namespace limpet::control
{

namespace
{

/// Time that a departure may take to be recorded. Backend servers turn to
/// another replica after a second.
constexpr duration answer_timeout = milliseconds(600);
/// Time for which departures are collected before they are sent. Limits the
/// entries of a replica to 50 a second.
constexpr duration batch_interval = milliseconds(20);
/// Departures in an entry. With 100 bytes for each it takes a link of 6 Mbit/s
/// 17 ms for each other replica.
constexpr std::size_t max_batch_size = 128;
/// Time without a leader after which departures are refused at once: an
/// election and a repetition take less.
constexpr duration leaderless_time = seconds(2);
/// Interval at which a leader that did not reply in time is tried again.
constexpr duration silent_leader_interval = seconds(1);
/// Interval between two entries that let departures be forgotten.
constexpr duration forget_interval = seconds(10);

error unavailable(std::string reason)
{
    return {error_code::unavailable, std::move(reason)};
}

/// Returns whether the replica that the server has reported to does not know
/// the start that leaves.
bool is_unknown(const directory::registration& departure)
{
    return departure.state == directory::server_state::gone &&
           departure.born_ms == 0;
}

} // namespace

error started_again()
{
    return {error_code::conflict,
            "the server has started again a short time ago"};
}

departure_recorder::departure_recorder(event_loop loop,
                                       recorder_callbacks callbacks)
    : m_loop(std::move(loop)),
      m_callbacks(std::move(callbacks)),
      m_last_id(
          call_id_before_first(call_sender::departures, m_callbacks.unix_ms())),
      m_leader_known_at(m_loop.now())
{
}

void departure_recorder::record(directory::registration departure,
                                callback done)
{
    const time_point now = m_loop.now();
    if (!is_unknown(departure) && m_callbacks.recorded().covers(departure))
    {
        done(success());
        return;
    }
    std::vector<waiting_departure> waiting;
    waiting.push_back(
        {std::move(departure), std::move(done), now + answer_timeout});
    if (!m_running)
    {
        fail(std::move(waiting), unavailable("the replica stops"));
        return;
    }
    if (is_refusing(now))
    {
        fail(std::move(waiting),
             unavailable("no leader has recorded departures recently"));
        return;
    }
    m_queue.push_back(std::move(waiting.front()));
    schedule();
}

void departure_recorder::schedule()
{
    if (std::exchange(m_is_scheduled, true))
    {
        return;
    }
    m_loop.call_after(batch_interval,
                      [this, running = std::weak_ptr(m_running)]
                      {
                          if (running.lock())
                          {
                              m_is_scheduled = false;
                              step();
                          }
                      });
}

void departure_recorder::step()
{
    const time_point now = m_loop.now();
    expire(now);
    const known_leader leader = find_leader(now);
    if (m_batch &&
        (leader.vm != m_batch->to.vm || leader.term != m_batch->to.term))
    {
        return_batch();
    }
    if (!m_batch)
    {
        send_batch(now);
    }
    if (m_batch || !m_queue.empty())
    {
        schedule();
    }
}

void departure_recorder::expire(time_point now)
{
    std::vector<waiting_departure> expired;
    const auto take_expired = [now, &expired](auto& from)
    {
        const auto kept =
            std::stable_partition(from.begin(),
                                  from.end(),
                                  [now](const waiting_departure& each)
                                  {
                                      return each.deadline > now;
                                  });
        std::move(kept, from.end(), std::back_inserter(expired));
        from.erase(kept, from.end());
    };
    take_expired(m_queue);
    if (m_batch)
    {
        take_expired(m_batch->waiting);
        if (m_batch->waiting.empty())
        {
            m_silent_term = m_batch->to.term;
            m_silent_until = now + silent_leader_interval;
            m_batch.reset();
        }
    }
    fail(std::move(expired), unavailable("not recorded in time"));
}

void departure_recorder::send_batch(time_point now)
{
    const known_leader leader = find_leader(now);
    if (m_queue.empty() || leader.vm == vm_id())
    {
        return;
    }
    m_batch = batch{++m_last_id, leader, now, take_next()};
    directory::departure_report report;
    for (const waiting_departure& each : m_batch->waiting)
    {
        report.servers.push_back(each.departure);
    }
    const std::uint64_t id = m_batch->id;
    if (leader.is_self)
    {
        commit(std::move(report),
               [this, id, running = std::weak_ptr(m_running)](
                   const batch_result& result)
               {
                   if (running.lock())
                   {
                       complete(id, result);
                   }
               });
        return;
    }
    const status sent = m_callbacks.send(
        leader.vm,
        wire::call{id, wire::call_kind::record_departures, encode(report)});
    if (!is_ok(sent))
    {
        return_batch();
    }
}

std::vector<departure_recorder::waiting_departure>
departure_recorder::take_next()
{
    const auto end =
        m_queue.begin() +
        static_cast<std::ptrdiff_t>(std::min(m_queue.size(), max_batch_size));
    std::vector<waiting_departure> next(
        std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
    return next;
}

/// Puts the departures of the batch back, to be sent again.
void departure_recorder::return_batch()
{
    std::vector<waiting_departure> waiting = std::move(m_batch->waiting);
    m_batch.reset();
    m_queue.insert(m_queue.begin(),
                   std::make_move_iterator(waiting.begin()),
                   std::make_move_iterator(waiting.end()));
    schedule();
}

void departure_recorder::complete(std::uint64_t id, const batch_result& result)
{
    if (is_ok(result))
    {
        m_silent_until = {};
    }
    if (!m_batch || m_batch->id != id)
    {
        return;
    }
    if (!is_ok(result))
    {
        return_batch();
        return;
    }
    const batch ended = std::move(*m_batch);
    m_batch.reset();
    complete(ended, value_of(result));
}

void departure_recorder::complete(
    const batch& ended, const std::vector<directory::registration>& refused)
{
    std::vector<waiting_departure> failed;
    std::vector<waiting_departure> recorded;
    for (const waiting_departure& each : ended.waiting)
    {
        const bool is_refused =
            std::any_of(refused.begin(),
                        refused.end(),
                        [&each](const directory::registration& other)
                        {
                            return other.id == each.departure.id;
                        });
        (is_refused ? failed : recorded).push_back(each);
    }
    if (!recorded.empty())
    {
        m_counts.recorded += recorded.size();
        log_event(log_level::info,
                  "departure.recorded",
                  {{"servers", recorded.size()},
                   {"first", recorded.front().departure.id.get()},
                   {"leader", ended.to.vm.get()},
                   {"took_ms", to_milliseconds(m_loop.now() - ended.sent_at)}});
    }
    for (const waiting_departure& each : recorded)
    {
        each.done(success());
    }
    fail(std::move(failed), started_again());
}

void departure_recorder::fail(std::vector<waiting_departure> failed,
                              const error& reason)
{
    if (failed.empty())
    {
        return;
    }
    m_counts.failed += failed.size();
    log_event(log_level::warn,
              "departure.not_recorded",
              {{"servers", failed.size()},
               {"first", failed.front().departure.id.get()},
               {"leader", m_callbacks.leader().vm.get()},
               {"reason", reason.message}});
    for (const waiting_departure& each : failed)
    {
        each.done(reason);
    }
}

void departure_recorder::receive(const vm_id& from, const wire::call& request)
{
    const auto reply = [this, from, id = request.id](const batch_result& result)
    {
        wire::reply answer;
        answer.id = id;
        answer.result =
            is_ok(result)
                ? outcome<std::string>(
                      encode(directory::departure_report{value_of(result), 0}))
                : outcome<std::string>(error_of(result));
        const status sent = m_callbacks.send(from, answer);
        if (!is_ok(sent))
        {
            log_event(
                log_level::warn,
                "departure.reply_lost",
                {{"peer", from.get()}, {"reason", error_of(sent).message}});
        }
    };
    auto report = directory::decode_departure_report(request.payload);
    if (!is_ok(report))
    {
        reply(error_of(report));
        return;
    }
    commit(std::move(value_of(report)), reply);
}

void departure_recorder::commit(directory::departure_report report,
                                const batch_callback& done)
{
    const auto refused = take_refused(report.servers);
    for (directory::registration& each : report.servers)
    {
        resolve(each);
    }
    std::erase_if(report.servers,
                  [this](const directory::registration& each)
                  {
                      return m_callbacks.recorded().covers(each);
                  });
    if (report.servers.empty())
    {
        done(refused);
        return;
    }
    m_callbacks.propose(
        make_entry(report),
        [done, refused](const outcome<replica::proposal_result>& end)
        {
            done(is_ok(end) ? batch_result(refused)
                            : batch_result(error_of(end)));
        });
}

std::vector<directory::registration> departure_recorder::take_refused(
    std::vector<directory::registration>& departures) const
{
    const auto refused =
        std::stable_partition(departures.begin(),
                              departures.end(),
                              [this](const directory::registration& each)
                              {
                                  return !may_be_of_another_start(each);
                              });
    std::vector<directory::registration> result(refused, departures.end());
    departures.erase(refused, departures.end());
    return result;
}

/// A deregistration does not tell its start: the replica that the server has
/// reported to names the one that it knows, which may be a former one.
bool departure_recorder::may_be_of_another_start(
    const directory::registration& departure) const
{
    const auto& servers = m_callbacks.servers();
    const auto* known = servers.find(departure.id);
    if (departure.state != directory::server_state::gone || known == nullptr ||
        known->state == directory::server_state::gone)
    {
        return false;
    }
    return is_unknown(departure)
               ? servers.is_start_ambiguous(departure.id, m_loop.now())
               : known->born_ms > departure.born_ms;
}

void departure_recorder::resolve(directory::registration& departure) const
{
    const auto* known = m_callbacks.servers().find(departure.id);
    const bool is_recorded =
        known == nullptr && m_callbacks.recorded().covers(departure);
    if (!is_unknown(departure) || is_recorded)
    {
        return;
    }
    // No start of an unknown server is later than now.
    departure.born_ms =
        known == nullptr ? m_callbacks.unix_ms() : known->born_ms;
}

void departure_recorder::receive(const wire::reply& answer)
{
    if (!is_ok(answer.result))
    {
        complete(answer.id, error_of(answer.result));
        return;
    }
    auto refused = directory::decode_departure_report(value_of(answer.result));
    complete(answer.id,
             is_ok(refused) ? batch_result(std::move(value_of(refused).servers))
                            : batch_result(error_of(refused)));
}

void departure_recorder::on_lost(const vm_id& peer)
{
    if (m_batch && m_batch->to.vm == peer)
    {
        return_batch();
    }
}

known_leader departure_recorder::find_leader(time_point now)
{
    known_leader leader = m_callbacks.leader();
    if (leader.vm != vm_id())
    {
        m_leader_known_at = now;
    }
    return leader;
}

bool departure_recorder::is_refusing(time_point now)
{
    const known_leader leader = find_leader(now);
    return leader.vm == vm_id()
               ? now >= m_leader_known_at + leaderless_time
               : leader.term == m_silent_term && now < m_silent_until;
}

void departure_recorder::update()
{
    const time_point now = m_loop.now();
    const known_leader leader = find_leader(now);
    note_recorded_index(now);
    const std::uint64_t oldest = m_callbacks.recorded().first_index();
    if (!leader.is_self || oldest == 0 || oldest > m_expired_index ||
        now < m_next_forgetting)
    {
        return;
    }
    m_next_forgetting = now + forget_interval;
    directory::departure_report report;
    report.forgotten_index = m_expired_index;
    m_callbacks.propose(
        make_entry(report),
        [forgotten =
             m_expired_index](const outcome<replica::proposal_result>& done)
        {
            log_event(log_level::info,
                      "departure.forgotten",
                      {{"index", forgotten},
                       {"reason", is_ok(done) ? "" : error_of(done).message}});
        });
}

void departure_recorder::note_recorded_index(time_point now)
{
    const std::uint64_t newest = m_callbacks.recorded().last_index();
    if (newest > m_noted_index)
    {
        m_noted_index = newest;
        m_recorded.emplace_back(now, newest);
    }
    while (!m_recorded.empty() &&
           m_recorded.front().first <= now - directory::departure_retention)
    {
        m_expired_index = m_recorded.front().second;
        m_recorded.pop_front();
    }
}

void departure_recorder::stop()
{
    m_running.reset();
    std::vector<waiting_departure> waiting;
    if (m_batch)
    {
        return_batch();
    }
    std::move(m_queue.begin(), m_queue.end(), std::back_inserter(waiting));
    m_queue.clear();
    fail(std::move(waiting), unavailable("the replica stops"));
}

} // namespace limpet::control
