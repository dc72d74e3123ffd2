#include <limpet/base/hash.hpp>
#include <limpet/config/distribution_node.hpp>

#include <algorithm>

namespace limpet::config
{

namespace
{

constexpr std::size_t max_lagging_names = 8;
/// Number of routers with the highest relay priority that a starting router
/// syncs with, in addition to a control replica. The router itself counts.
constexpr std::size_t max_initial_peers = 3;

std::uint64_t rank_of(const data_centre_id& data_centre, const vm_id& vm)
{
    return combine_hashes(stable_hash(data_centre.get()),
                          stable_hash(vm.get()));
}

bool is_newer(const position& left, const std::optional<position>& right)
{
    return !right || compare(left, *right) == position_order::newer;
}

} // namespace

distribution_node::distribution_node(vm_id self,
                                     const distribution_settings& settings,
                                     std::uint64_t seed)
    : m_self(std::move(self)),
      m_settings(settings),
      m_random(seed),
      m_log(settings.max_updates),
      m_publisher(settings)
{
}

void distribution_node::restore(view_ptr stored)
{
    m_log.adopt(std::move(stored));
}

void distribution_node::set_topology(const distribution_topology& topology)
{
    m_topology = topology;
    m_relay_order = topology.peers;
    m_relay_order.push_back(m_self);
    const auto rank = [&](const vm_id& vm)
    {
        return std::pair(rank_of(topology.data_centre, vm), vm);
    };
    std::sort(m_relay_order.begin(),
              m_relay_order.end(),
              [&](const vm_id& left, const vm_id& right)
              {
                  return rank(left) < rank(right);
              });
}

std::vector<outgoing_message> distribution_node::receive(
    const vm_id& from, const distribution_message& message, time_point now)
{
    record_response(from, now);
    std::visit(
        [&](const auto& each)
        {
            handle_message(from, each, now);
        },
        message);
    return take_output();
}

std::vector<outgoing_message> distribution_node::tick(time_point now)
{
    if (!m_started)
    {
        start(now);
    }
    const bool wait_elapsed = now >= m_start + m_settings.first_wait;
    m_serving = m_serving || wait_elapsed || m_pending_initial_syncs.empty();
    if (now >= m_next_sync)
    {
        m_next_sync = now + m_settings.sync_interval;
        sync_upstream(now);
    }
    sync_control(now);
    send_reports(now);
    retry_part(now);
    return take_output();
}

view_ptr distribution_node::view() const
{
    return m_serving ? m_log.view() : nullptr;
}

adopted_changes distribution_node::take_adopted()
{
    return std::exchange(m_adopted, {});
}

bool distribution_node::is_relay(time_point now) const
{
    for (const vm_id& each : m_relay_order)
    {
        if (each == m_self)
        {
            return true;
        }
        if (!is_excluded(each, now))
        {
            return false;
        }
    }
    return true;
}

force_report distribution_node::report(time_point now) const
{
    force_report out;
    out.data_centre = m_topology.data_centre;
    out.routers = static_cast<std::uint32_t>(m_topology.peers.size() + 1);
    const revision own =
        m_log.view() == nullptr ? revision(0) : m_log.view()->where().number;
    out.lowest = own;
    for (const vm_id& peer : m_topology.peers)
    {
        const auto peer_position = m_publisher.position_of(peer, now);
        const revision number =
            peer_position ? peer_position->number : revision(0);
        out.lowest = std::min(out.lowest, number);
        if (number < own && out.lagging.size() < max_lagging_names)
        {
            out.lagging.push_back(peer);
        }
    }
    return out;
}

void distribution_node::start(time_point now)
{
    m_started = true;
    m_start = now;
    // Randomize the first direct sync so that routers that start together do
    // not all contact control at the same time.
    const double part = m_random.uniform();
    m_next_direct =
        now + from_seconds(part * to_seconds(m_settings.direct_interval));
    m_next_sync = now;
    std::vector<vm_id> first;
    for (std::size_t i = 0; i < m_relay_order.size() && i < max_initial_peers;
         ++i)
    {
        first.push_back(m_relay_order[i]);
    }
    if (const auto vm = select_control(m_random.next(), now))
    {
        first.push_back(*vm);
    }
    for (const vm_id& each : first)
    {
        if (each != m_self)
        {
            m_pending_initial_syncs.insert(each);
            sync_with(each, true, false, now);
        }
    }
}

void distribution_node::sync_with(const vm_id& to,
                                  bool ask,
                                  bool subscribe,
                                  time_point now)
{
    if (ask)
    {
        m_unanswered.emplace(to, now);
    }
    sync_message message;
    message.ask = ask;
    message.subscribe = subscribe;
    message.have = current_position();
    m_out.push_back({to, std::move(message)});
}

void distribution_node::sync_upstream(time_point now)
{
    for (const auto& [vm, since] : m_unanswered)
    {
        if (since + m_settings.silence_timeout <= now)
        {
            m_excluded_until[vm] = now + m_settings.penalty;
        }
    }
    std::erase_if(m_unanswered,
                  [&](const auto& each)
                  {
                      return is_excluded(each.first, now);
                  });
    const std::optional<vm_id> selected = select_upstream(now);
    // Skip the sync during a snapshot transfer from the upstream, which has
    // its own retries.
    if (selected &&
        !(m_incoming_snapshot && m_incoming_snapshot->from == *selected))
    {
        sync_with(*selected, true, true, now);
    }
}

void distribution_node::sync_control(time_point now)
{
    const bool unanswered =
        m_direct_replica && m_unanswered.contains(*m_direct_replica) &&
        m_unanswered.at(*m_direct_replica) + m_settings.direct_timeout <= now;
    if (unanswered)
    {
        m_excluded_until[*m_direct_replica] = now + m_settings.penalty;
        m_unanswered.erase(*m_direct_replica);
    }
    if (!unanswered && now < m_next_direct)
    {
        return;
    }
    m_next_direct = now + m_settings.direct_interval;
    m_direct_replica = select_control(m_random.next(), now);
    if (m_direct_replica && !m_incoming_snapshot)
    {
        sync_with(*m_direct_replica,
                  true,
                  *m_direct_replica == select_upstream(now),
                  now);
    }
}

void distribution_node::send_reports(time_point now)
{
    if (!is_relay(now) || now < m_next_report)
    {
        return;
    }
    force_report current = report(now);
    const bool due = now >= m_last_report + m_settings.report_refresh;
    if (m_sent_report == current && !due)
    {
        return;
    }
    m_last_report = now;
    m_next_report = now + m_settings.report_interval;
    m_sent_report = current;
    const std::optional<vm_id> selected = select_upstream(now);
    for (const vm_id& vm : m_topology.controls)
    {
        sync_message message;
        message.ask = false;
        message.subscribe = vm == selected;
        message.have = current_position();
        message.report = current;
        m_out.push_back({vm, std::move(message)});
    }
}

void distribution_node::handle_message(const vm_id& from,
                                       const sync_message& message,
                                       time_point now)
{
    m_publisher.receive(from, message, served(), now, m_out);
    if (message.have && is_newer(*message.have, current_position()))
    {
        sync_with(from, true, from == select_upstream(now), now);
        return;
    }
    if (message.have && current_position() &&
        compare(*message.have, *current_position()) == position_order::diverged)
    {
        m_refused = message.have;
    }
}

void distribution_node::handle_message(const vm_id& from,
                                       const updates_message& message,
                                       time_point now)
{
    const std::optional<position> before = current_position();
    const adoption result = m_log.adopt(message.before, message.entries);
    if (result == adoption::adopted)
    {
        if (m_adopted.updates.empty())
        {
            m_adopted.before = *before;
        }
        const std::size_t new_count =
            current_position()->number.get() - before->number.get();
        m_adopted.updates.insert(m_adopted.updates.end(),
                                 message.entries.end() -
                                     static_cast<std::ptrdiff_t>(new_count),
                                 message.entries.end());
    }
    handle_adoption(result, from, message.before, now);
}

void distribution_node::handle_message(const vm_id& from,
                                       const part_request& message,
                                       time_point now)
{
    m_publisher.receive(from, message, served(), now, m_out);
}

void distribution_node::handle_message(const vm_id& from,
                                       const snapshot_part& message,
                                       time_point now)
{
    if (!is_newer(message.of, current_position()))
    {
        return;
    }
    const bool replaced = m_incoming_snapshot &&
                          m_incoming_snapshot->from == from &&
                          m_incoming_snapshot->of != message.of;
    const bool first = message.index == 0 && (!m_incoming_snapshot || replaced);
    if (first)
    {
        m_incoming_snapshot =
            incoming_snapshot{from, message.of, message.count, 0, {}, now};
    }
    const bool expected = m_incoming_snapshot &&
                          m_incoming_snapshot->from == from &&
                          m_incoming_snapshot->of == message.of &&
                          m_incoming_snapshot->received == message.index;
    if (!expected)
    {
        return;
    }
    m_incoming_snapshot->bytes += message.bytes;
    ++m_incoming_snapshot->received;
    if (m_incoming_snapshot->received == m_incoming_snapshot->count)
    {
        install_snapshot(now);
        return;
    }
    request_part(from, now);
}

void distribution_node::request_part(const vm_id& from, time_point now)
{
    m_incoming_snapshot->requested_at = now;
    m_out.push_back(
        {from,
         part_request{m_incoming_snapshot->of, m_incoming_snapshot->received}});
}

void distribution_node::retry_part(time_point now)
{
    if (!m_incoming_snapshot ||
        now < m_incoming_snapshot->requested_at + m_settings.part_timeout)
    {
        return;
    }
    if (is_excluded(m_incoming_snapshot->from, now) ||
        !is_newer(m_incoming_snapshot->of, current_position()))
    {
        m_incoming_snapshot.reset();
        return;
    }
    m_unanswered.emplace(m_incoming_snapshot->from,
                         m_incoming_snapshot->requested_at);
    request_part(m_incoming_snapshot->from, now);
}

void distribution_node::install_snapshot(time_point now)
{
    const incoming_snapshot snapshot = std::move(*m_incoming_snapshot);
    m_incoming_snapshot.reset();
    outcome<config_view> view = decode_view(snapshot.bytes);
    const bool intact = is_ok(view) && value_of(view).where() == snapshot.of;
    if (!intact)
    {
        handle_adoption(adoption::malformed, snapshot.from, snapshot.of, now);
        return;
    }
    auto received =
        std::make_shared<const config_view>(value_of(std::move(view)));
    const adoption result = m_log.adopt(received);
    if (result == adoption::adopted)
    {
        m_adopted = {received, {}, received->where()};
    }
    handle_adoption(result, snapshot.from, snapshot.of, now);
    sync_with(snapshot.from, true, snapshot.from == select_upstream(now), now);
}

void distribution_node::handle_adoption(adoption result,
                                        const vm_id& from,
                                        const position& received,
                                        time_point now)
{
    switch (result)
    {
    case adoption::adopted:
        after_change(from, now);
        break;
    case adoption::missing_changes:
        // install_snapshot() requests the changes that follow the snapshot, so
        // a sync is needed only if no snapshot transfer is in progress.
        if (!m_incoming_snapshot)
        {
            sync_with(from, true, from == select_upstream(now), now);
        }
        break;
    case adoption::refused:
        m_refused = received;
        break;
    case adoption::unchanged:
    case adoption::malformed:
        break;
    }
}

void distribution_node::after_change(const vm_id& source, time_point now)
{
    m_publisher.publish(served(), now, m_out);
    // Delay the report until the peers have had time to respond, so that one
    // report covers all of them.
    m_next_report = std::max(m_next_report, now + m_settings.report_interval);
    const std::optional<vm_id> selected = select_upstream(now);
    // Send the new position to the upstream as well: it may lag if another VM
    // sent the change.
    if (selected)
    {
        sync_with(*selected, false, true, now);
    }
    if (source != selected)
    {
        sync_with(source, false, false, now);
    }
}

void distribution_node::record_response(const vm_id& from, time_point now)
{
    m_unanswered.erase(from);
    m_pending_initial_syncs.erase(from);
    const auto found = m_excluded_until.find(from);
    if (found != m_excluded_until.end() && found->second <= now)
    {
        m_excluded_until.erase(found);
    }
}

std::optional<vm_id> distribution_node::select_upstream(time_point now) const
{
    for (const vm_id& each : m_relay_order)
    {
        if (each == m_self)
        {
            break;
        }
        if (!is_excluded(each, now))
        {
            return each;
        }
    }
    return select_control(stable_hash(m_self.get()), now);
}

std::optional<vm_id> distribution_node::select_control(std::uint64_t first,
                                                       time_point now) const
{
    const std::size_t count = m_topology.controls.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        const vm_id& each = m_topology.controls[(first + i) % count];
        if (!is_excluded(each, now))
        {
            return each;
        }
    }
    return count == 0 ? std::nullopt
                      : std::optional(m_topology.controls[first % count]);
}

bool distribution_node::is_excluded(const vm_id& vm, time_point now) const
{
    const auto found = m_excluded_until.find(vm);
    return found != m_excluded_until.end() && now < found->second;
}

served_config distribution_node::served() const noexcept
{
    return {m_log.view(), m_log.history()};
}

std::optional<position> distribution_node::current_position() const
{
    if (m_log.view() == nullptr)
    {
        return std::nullopt;
    }
    return m_log.view()->where();
}

std::vector<outgoing_message> distribution_node::take_output()
{
    return std::exchange(m_out, {});
}

} // namespace limpet::config
