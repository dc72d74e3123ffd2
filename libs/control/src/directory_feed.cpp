#include "directory_feed.hpp"

#include <limpet/base/log.hpp>

#include <algorithm>
#include <utility>

namespace limpet::control
{

namespace
{

/// Interval between two updates to a subscriber if nothing changes. Bounds the
/// delay after which the content of a lost frame is sent again.
constexpr duration update_period = milliseconds(500);
/// Interval between two rounds of updates while there are changes, so that a
/// burst of changes is sent in few rounds. A round takes at most one in
/// round_interval_factor of the time.
constexpr duration min_round_interval = milliseconds(50);
constexpr int round_interval_factor = 8;
/// Bytes after which a round leaves the remaining registrations to the next
/// one. A link of 6 Mbit/s transmits them in 43 ms, short compared to the time
/// after which a leader that receives no answers steps down.
constexpr std::size_t max_round_bytes = 32UL * 1024;
/// Registrations that a round sends to one subscriber, so that all of them get
/// some early if there are many to send to each.
constexpr std::size_t max_rows_per_update = 128;
/// Registrations in a round that were left to another replica and are overdue.
/// Limits the duplicates if that replica is slow, not lost.
constexpr std::size_t max_overdue_rows = 64;
/// Rate of the rounds in bytes per second: a third of such a link.
constexpr double round_bytes_per_second = 250'000;
/// Bytes that a registration takes in a frame with others, rounded up.
constexpr std::size_t max_row_bytes = 128;
/// Bytes that a router takes in a list of them, rounded up.
constexpr std::size_t max_router_bytes = 48;
/// Time for which a change is left to the replica that is responsible for it.
/// Longer than it takes through two rounds of updates and back in the
/// subscriber's next frame, and short compared to the time in which a state
/// that a server reported must be known.
constexpr duration withhold_timeout = milliseconds(1200);
/// A subscriber not heard from for this long is removed.
constexpr duration subscriber_timeout = seconds(3);
/// A replica not heard from for this long, three update periods, is not chosen
/// to relay documents and registrations to routers.
constexpr duration replica_timeout = milliseconds(1500);
/// Missed heartbeats after which a backend server is marked silent. Heartbeats
/// may be late by seconds.
constexpr int missed_heartbeats = 5;
/// Time for which the row of a server that left or is silent is retained, so
/// that delayed registrations of it are recognized as stale.
constexpr duration tombstone_retention = directory::departure_retention;

} // namespace

directory_feed::directory_feed(event_loop loop,
                               std::shared_ptr<wire::link_hub> hub,
                               duration server_heartbeat_period,
                               work_meter& meter,
                               feed_callbacks callbacks)
    : m_loop(std::move(loop)),
      m_hub(std::move(hub)),
      m_silence_timeout(missed_heartbeats * server_heartbeat_period),
      m_meter(meter),
      m_callbacks(std::move(callbacks)),
      m_started_at(m_loop.now()),
      m_orders(m_hub->self().vm,
               {m_callbacks.orders,
                m_callbacks.has_lease,
                [this]
                {
                    return live_replicas();
                },
                [this]
                {
                    return m_budget.has_capacity(m_loop.now());
                }}),
      m_loads(m_loop,
              m_hub,
              m_sent_content,
              [this]
              {
                  return live_replicas();
              })
{
}

void directory_feed::start()
{
    schedule();
    m_loads.start();
}

void directory_feed::stop()
{
    m_running.reset();
    m_loads.stop();
}

void directory_feed::schedule()
{
    m_loop.call_after(update_period,
                      [this, running = std::weak_ptr(m_running)]
                      {
                          if (running.lock())
                          {
                              tick();
                              schedule();
                          }
                      });
}

void directory_feed::tick()
{
    const time_point now = m_loop.now();
    m_callbacks.on_tick();
    m_table.mark_silent(now - m_silence_timeout);
    m_table.forget_silent(now - tombstone_retention);
    assign_routers();
    send_heartbeats();
    send_updates(true);
}

void directory_feed::assign_routers()
{
    for (auto& [peer, each] : m_subscribers)
    {
        each.is_relayed_here = each.is_router && m_orders.is_relay_of(peer);
    }
}

void directory_feed::add_contact(const vm_id& replica)
{
    const bool is_known =
        std::find(m_contacts.begin(), m_contacts.end(), replica) !=
        m_contacts.end();
    if (replica != m_hub->self().vm && !is_known)
    {
        m_contacts.push_back(replica);
    }
}

void directory_feed::send_heartbeats()
{
    directory::update frame;
    frame.subscribes = true;
    if (m_loop.now() < m_table_changed_at + directory::digest_report_time)
    {
        frame.digests = m_table.digests();
    }
    frame.replicas = m_callbacks.replicas();
    for (const engine_id& id : m_reported)
    {
        if (const auto* row = m_table.find(id))
        {
            frame.heartbeats.push_back(directory::heartbeat_of(*row));
        }
    }
    m_reported.clear();
    for (const vm_id& replica : m_contacts)
    {
        send(replica, frame);
    }
}

void directory_feed::receive(const wire::link_identity& from,
                             std::string_view payload)
{
    const auto decoded = directory::decode_update(payload, m_loop.now());
    if (!is_ok(decoded))
    {
        log_event(
            log_level::warn, "frame.malformed", {{"peer", from.vm.get()}});
        return;
    }
    const directory::update& frame = value_of(decoded);
    if (frame.loads)
    {
        const work_meter::timer work(m_meter, work_kind::loads);
        m_loads.receive(from.vm, frame);
        return;
    }
    const work_meter::timer work(m_meter, work_kind::directory);
    if (!frame.is_router)
    {
        m_replicas_heard_at[from.vm] = m_loop.now();
        merge_registrations(from.vm, frame);
        add_contact(from.vm);
        for (const vm_id& each : frame.replicas)
        {
            add_contact(each);
        }
        std::vector<vm_id> contacts = frame.replicas;
        contacts.push_back(from.vm);
        m_callbacks.on_contacts(std::move(contacts));
    }
    if (frame.subscribes)
    {
        update_subscriber(from, frame);
    }
}

void directory_feed::merge_registrations(const vm_id& from,
                                         const directory::update& frame)
{
    bool is_change = false;
    for (const directory::registration& each : frame.registrations)
    {
        is_change |= merge_registration(each, from.get());
    }
    for (const directory::heartbeat& each : frame.heartbeats)
    {
        is_change |= m_table.record_heartbeat(each);
    }
    if (is_change)
    {
        request_updates();
    }
}

bool directory_feed::merge_registration(const directory::registration& row,
                                        std::string_view source)
{
    const bool has_changed =
        m_table.merge(row) == directory::merge_result::changed;
    if (has_changed && is_leaving(row))
    {
        log_event(log_level::info,
                  "server.leaves",
                  {{"engine", row.id.get()},
                   {"state", to_string(row.state)},
                   {"replica", source}});
    }
    return has_changed;
}

void directory_feed::take_departures(
    const std::vector<directory::registration>& departed)
{
    if (departed.empty())
    {
        return;
    }
    const work_meter::timer work(m_meter, work_kind::registration);
    bool is_change = false;
    for (directory::registration each : departed)
    {
        each.heard_at = m_loop.now();
        is_change |= merge_registration(each, "log");
    }
    if (is_change)
    {
        request_updates();
    }
}

void directory_feed::update_subscriber(const wire::link_identity& from,
                                       const directory::update& frame)
{
    subscriber& known = m_subscribers[from.vm];
    const time_point now = m_loop.now();
    const bool is_new =
        known.start != from.start || known.heard_at == time_point{};
    if (is_new)
    {
        log_event(log_level::info,
                  "subscriber.found",
                  {{"peer", from.vm.get()}, {"router", frame.is_router}});
        known = {};
    }
    if (frame.is_router)
    {
        record_router(from);
        known.is_relayed_here =
            is_new ? m_orders.is_relay_of(from.vm) : known.is_relayed_here;
    }
    record_digests(known, frame);
    known.asked_at = frame.asked_at;
    known.start = from.start;
    known.is_router = frame.is_router;
    known.heard_at = now;
    const bool has_arrived =
        frame.is_router &&
        m_orders.record_state({from.vm, from.data_centre, now}, frame, is_new);
    send_update(from.vm, known, is_new);
    if (has_arrived)
    {
        // The arrival frees capacity of the link, for which other routers may
        // be waiting.
        request_updates();
    }
}

void directory_feed::record_router(const wire::link_identity& router)
{
    router_entry& entry = m_routers[router.vm];
    if (entry.change == 0 || entry.is_gone ||
        entry.data_centre != router.data_centre)
    {
        entry.data_centre = router.data_centre;
        entry.is_gone = false;
        record_router_change(router.vm, entry);
    }
}

void directory_feed::record_router_change(const vm_id& vm, router_entry& entry)
{
    m_changed_routers.erase(entry.change);
    entry.change = ++m_router_changes;
    m_changed_routers[entry.change] = vm;
}

void directory_feed::add_router_changes(directory::update& frame,
                                        subscriber& to)
{
    if (!to.is_relayed_here)
    {
        // The list that this replica sent before would go out of date.
        frame.is_complete = to.sent_router_change > 0;
        to.sent_router_change = 0;
        return;
    }
    if (!may_send_routers(to))
    {
        return;
    }
    std::size_t left = router_changes_left();
    if (needs_all_routers(to))
    {
        to.needs_routers = false;
        to.sent_router_change = 0;
        frame.is_complete = true;
        left = m_changed_routers.size();
        m_is_list_of_round_sent = true;
    }
    for (auto each = m_changed_routers.upper_bound(to.sent_router_change);
         each != m_changed_routers.end() && left > 0;
         ++each, --left)
    {
        const router_entry& entry = m_routers.at(each->second);
        frame.router_changes.push_back(
            {each->second, entry.data_centre, entry.is_gone});
        to.sent_router_change = each->first;
    }
}

bool directory_feed::needs_all_routers(const subscriber& to)
{
    return to.needs_routers || to.sent_router_change == 0;
}

/// A list is sent whole, as a router would share the servers' limits among the
/// routers of a part. One in each round is sent whatever its length.
bool directory_feed::may_send_routers(const subscriber& to)
{
    // A router serves with a part of the registrations, and needs no list.
    if (!has_pending_routers(to) ||
        (needs_all_routers(to) && to.sent_change < m_table.last_change()))
    {
        return false;
    }
    return needs_all_routers(to)
               ? !m_is_list_of_round_sent ||
                     router_changes_left() >= m_changed_routers.size()
               : router_changes_left() > 0;
}

std::size_t directory_feed::router_changes_left()
{
    return m_round_bytes < max_round_bytes &&
                   m_budget.has_capacity(m_loop.now())
               ? (max_round_bytes - m_round_bytes) / max_router_bytes
               : 0;
}

duration directory_feed::history(time_point now) const
{
    return std::min(now - m_started_at, tombstone_retention);
}

void directory_feed::on_lost(const vm_id& peer)
{
    const auto known = m_subscribers.find(peer);
    if (known != m_subscribers.end())
    {
        known->second.sent_change = 0;
        known->second.sent_leaving = 0;
        known->second.sent_own_leaving = 0;
        known->second.needs_routers = true;
        known->second.sent_replicas.clear();
    }
    m_orders.on_lost(peer);
    m_loads.on_lost(peer);
}

void directory_feed::send_update(const vm_id& peer,
                                 subscriber& to,
                                 bool is_forced)
{
    directory::update frame;
    if (to.is_router)
    {
        m_orders.add_orders(frame, peer, m_loop.now());
    }
    add_registrations(frame, to);
    if (is_forced || may_send_routers(to) || frame.orders ||
        !frame.registrations.empty())
    {
        add_replicas(frame, to);
        frame.routers = routers();
        // Later changes are short, and many in a flood, which leaves no
        // processor time for their compression.
        frame.may_be_packed = to.asked_at != time_point{} && !to.is_complete;
        to.is_complete =
            to.is_complete ||
            (to.sent_change > 0 && to.sent_change >= m_table.last_change());
        if (to.is_router)
        {
            add_router_changes(frame, to);
            if (is_forced)
            {
                frame.asked_at = to.asked_at;
                frame.is_settled = m_callbacks.is_settled();
                frame.intent_index = m_callbacks.orders().index;
            }
            if (to.sent_change >= overdue_change())
            {
                frame.history = history(m_loop.now());
            }
        }
        send(peer, frame);
    }
}

void directory_feed::add_replicas(directory::update& frame, subscriber& to)
{
    std::vector<vm_id> replicas = m_callbacks.replicas();
    if (replicas != to.sent_replicas)
    {
        to.sent_replicas = replicas;
        frame.replicas = std::move(replicas);
    }
}

void directory_feed::add_registrations(directory::update& frame, subscriber& to)
{
    if (to.is_router && to.is_relayed_here && to.is_complete)
    {
        add_leaving_servers(frame, to);
    }
    add_pending_registrations(frame, to);
    if (!to.is_router)
    {
        add_own_registrations(frame, to);
    }
}

void directory_feed::add_leaving_servers(directory::update& frame,
                                         subscriber& to)
{
    to.sent_leaving = m_table.changes_after(
        std::max(to.sent_leaving, to.sent_change),
        [&frame](const directory::registration& row, std::uint64_t /*change*/)
        {
            if (is_leaving(row))
            {
                frame.registrations.push_back(row);
            }
        },
        m_table.last_change(),
        max_rows_per_update);
}

void directory_feed::add_pending_registrations(directory::update& frame,
                                               subscriber& to)
{
    const std::uint64_t until =
        to.is_relayed_here ? m_table.last_change() : overdue_change();
    // A router that serves waits for registrations rather than for documents.
    const std::size_t left =
        to.is_complete && m_orders.has_deferred() ? 0 : rows_left();
    const std::size_t limit =
        to.is_relayed_here ? left : std::min(left, m_overdue_rows_left);
    to.sent_change = m_table.changes_after(
        to.sent_change,
        [&frame, &to](const directory::registration& row, std::uint64_t change)
        {
            // The digests do not tell whether the subscriber knows who is gone.
            const auto index = directory::digest_index(row.id);
            const bool was_sent = change <= to.sent_leaving && is_leaving(row);
            if (!was_sent && (to.known_changes[index] < change ||
                              row.state == directory::server_state::gone))
            {
                frame.registrations.push_back(row);
            }
        },
        until,
        limit);
    if (!to.is_relayed_here)
    {
        m_overdue_rows_left -=
            std::min(m_overdue_rows_left, frame.registrations.size());
    }
}

void directory_feed::record_digests(subscriber& from,
                                    const directory::update& frame) const
{
    if (!frame.digests)
    {
        return;
    }
    for (std::size_t i = 0; i < directory::digest_count; ++i)
    {
        if ((*frame.digests)[i] == m_table.digests()[i])
        {
            from.known_changes[i] = m_table.last_change();
        }
    }
}

std::uint64_t directory_feed::overdue_change() const
{
    return m_change_times.empty() ? 0 : m_change_times.front().second;
}

void directory_feed::add_own_registrations(directory::update& frame,
                                           subscriber& to)
{
    add_own_leaving_servers(frame, to);
    const std::size_t limit = rows_left();
    for (auto each = m_own_changes.upper_bound(to.sent_own_change);
         each != m_own_changes.end() && frame.registrations.size() < limit;
         ++each)
    {
        to.sent_own_change = each->first;
        const auto* row = m_table.find(each->second);
        const bool was_sent = row != nullptr && is_leaving(*row) &&
                              each->first <= to.sent_own_leaving;
        if (row != nullptr && !was_sent)
        {
            frame.registrations.push_back(*row);
        }
    }
}

void directory_feed::add_own_leaving_servers(directory::update& frame,
                                             subscriber& to) const
{
    const std::uint64_t sent =
        std::max(to.sent_own_leaving, to.sent_own_change);
    for (auto each = m_own_changes.upper_bound(sent);
         each != m_own_changes.end() &&
         frame.registrations.size() < max_rows_per_update;
         ++each)
    {
        to.sent_own_leaving = each->first;
        const auto* row = m_table.find(each->second);
        if (row != nullptr && is_leaving(*row))
        {
            frame.registrations.push_back(*row);
        }
    }
}

void directory_feed::record_change_time(time_point now)
{
    if (m_change_times.empty() ||
        m_change_times.back().second != m_table.last_change())
    {
        m_table_changed_at = now;
    }
    m_change_times.emplace_back(now, m_table.last_change());
    while (m_change_times.size() > 1 &&
           m_change_times[1].first <= now - withhold_timeout)
    {
        m_change_times.pop_front();
    }
    if (m_change_times.front().first > now - withhold_timeout)
    {
        // Nothing is overdue yet.
        m_change_times.emplace_front(now - withhold_timeout, 0);
    }
}

void directory_feed::record_own_change(const engine_id& id)
{
    m_own_changes.emplace(m_table.last_change(), id);
}

void directory_feed::forget_own_changes()
{
    std::uint64_t sent = m_table.last_change();
    for (const auto& [peer, each] : m_subscribers)
    {
        if (!each.is_router)
        {
            sent = std::min(sent,
                            std::max(each.sent_own_change, each.sent_change));
        }
    }
    m_own_changes.erase(m_own_changes.begin(), m_own_changes.upper_bound(sent));
}

std::size_t directory_feed::rows_left()
{
    return m_round_bytes < max_round_bytes &&
                   m_budget.has_capacity(m_loop.now())
               ? std::min(max_rows_per_update,
                          (max_round_bytes - m_round_bytes) / max_row_bytes)
               : 0;
}

bool directory_feed::has_pending_routers(const subscriber& to) const
{
    return to.is_router && to.is_relayed_here &&
           (to.needs_routers || to.sent_router_change < m_router_changes);
}

bool directory_feed::has_pending_rows(const subscriber& to) const
{
    if (to.is_router)
    {
        return has_pending_routers(to) ||
               (to.is_relayed_here && to.sent_change < m_table.last_change());
    }
    return !m_own_changes.empty() &&
           std::max(to.sent_own_change, to.sent_change) <
               m_own_changes.rbegin()->first;
}

std::vector<vm_id> directory_feed::live_replicas() const
{
    const time_point since = m_loop.now() - replica_timeout;
    std::vector<vm_id> result = {m_hub->self().vm};
    for (const auto& [vm, heard_at] : m_replicas_heard_at)
    {
        if (heard_at >= since)
        {
            result.push_back(vm);
        }
    }
    if (m_loop.now() < m_started_at + replica_timeout)
    {
        // The others may have started at the same moment. If each replica took
        // itself for the only one, all would send everything to all routers.
        for (const vm_id& each : m_callbacks.replicas())
        {
            if (each != m_hub->self().vm && !m_replicas_heard_at.contains(each))
            {
                result.push_back(each);
            }
        }
    }
    return result;
}

void directory_feed::remove_silent_subscribers(time_point now)
{
    std::erase_if(m_subscribers,
                  [this, now](const auto& each)
                  {
                      const auto& [vm, known] = each;
                      const bool is_lost =
                          known.heard_at + subscriber_timeout < now;
                      if (is_lost)
                      {
                          m_orders.forget(vm);
                      }
                      if (is_lost && known.is_router)
                      {
                          router_entry& router = m_routers[vm];
                          router.is_gone = true;
                          record_router_change(vm, router);
                      }
                      return is_lost;
                  });
}

void directory_feed::send_updates(bool is_forced)
{
    const work_meter::timer work(m_meter, work_kind::updates);
    const time_point start = m_loop.now();
    remove_silent_subscribers(start);
    record_change_time(start);
    m_round_bytes = 0;
    m_is_list_of_round_sent = false;
    m_orders.begin_round();
    m_overdue_rows_left = max_overdue_rows;
    bool has_pending = false;
    bool is_exhausted = false;
    const auto visit = [&](auto& entry)
    {
        auto& [peer, each] = entry;
        // Replicas receive heartbeats instead of empty updates.
        send_update(peer, each, is_forced && each.is_router);
        const bool is_pending = has_pending_rows(each);
        has_pending |= is_pending;
        if (is_pending && rows_left() == 0 &&
            !std::exchange(is_exhausted, true))
        {
            m_next_subscriber = peer;
        }
    };
    const auto first = m_subscribers.lower_bound(m_next_subscriber);
    std::for_each(first, m_subscribers.end(), visit);
    std::for_each(m_subscribers.begin(), first, visit);
    has_pending |= m_orders.has_deferred();
    forget_own_changes();
    const time_point end = m_loop.now();
    const duration interval =
        std::max(round_interval_factor * (end - start),
                 from_seconds(static_cast<double>(m_round_bytes) /
                              round_bytes_per_second));
    m_next_round =
        end + std::clamp(interval, min_round_interval, update_period);
    if (has_pending)
    {
        request_updates();
    }
}

void directory_feed::request_updates()
{
    const time_point now = m_loop.now();
    if (now >= m_next_round)
    {
        send_updates(false);
        return;
    }
    if (std::exchange(m_is_round_scheduled, true))
    {
        return;
    }
    m_loop.call_after(m_next_round - now,
                      [this, running = std::weak_ptr(m_running)]
                      {
                          if (running.lock())
                          {
                              m_is_round_scheduled = false;
                              send_updates(false);
                          }
                      });
}

void directory_feed::orders_changed()
{
    m_orders.orders_changed(m_loop.now());
    request_updates();
}

directory::merge_result
directory_feed::take(const directory::registration& reported)
{
    const work_meter::timer work(m_meter, work_kind::registration);
    const directory::merge_result result = m_table.merge(reported);
    if (result == directory::merge_result::changed ||
        result == directory::merge_result::refreshed)
    {
        m_reported.push_back(reported.id);
    }
    if (result == directory::merge_result::changed)
    {
        record_own_change(reported.id);
        request_updates();
    }
    return result;
}

directory::merge_result directory_feed::leave(const engine_id& id)
{
    const work_meter::timer work(m_meter, work_kind::registration);
    const auto result = m_table.leave(id, m_loop.now());
    if (result == directory::merge_result::changed)
    {
        record_own_change(id);
        request_updates();
    }
    return result;
}

std::uint32_t directory_feed::routers() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_subscribers.begin(),
                      m_subscribers.end(),
                      [](const auto& each)
                      {
                          return each.second.is_router;
                      }));
}

void directory_feed::send(const vm_id& peer, const directory::update& frame)
{
    std::string payload = encode(frame, m_loop.now());
    m_round_bytes += payload.size();
    m_budget.charge(payload.size(), m_loop.now());
    m_sent_content.record(content_of(frame), payload.size());
    const status sent =
        m_hub->send(peer, wire::channel::directory, std::move(payload));
    if (!is_ok(sent))
    {
        log_event(log_level::warn,
                  "feed.send_failed",
                  {{"peer", peer.get()}, {"reason", error_of(sent).message}});
        on_lost(peer);
    }
}

} // namespace limpet::control
