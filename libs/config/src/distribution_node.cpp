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
constexpr std::size_t first_peers = 3;

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
    m_ranks = topology.peers;
    m_ranks.push_back(m_self);
    const auto rank = [&](const vm_id& vm)
    {
        return std::pair(rank_of(topology.data_centre, vm), vm);
    };
    std::sort(m_ranks.begin(),
              m_ranks.end(),
              [&](const vm_id& left, const vm_id& right)
              {
                  return rank(left) < rank(right);
              });
}

std::vector<outgoing_message> distribution_node::receive(
    const vm_id& from, const distribution_message& message, time_point now)
{
    note_answer(from, now);
    std::visit(
        [&](const auto& each)
        {
            on(from, each, now);
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
    const bool waited = now >= m_start + m_settings.first_wait;
    m_serving = m_serving || waited || m_awaited.empty();
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
    for (const vm_id& each : m_ranks)
    {
        if (each == m_self)
        {
            return true;
        }
        if (!is_passed_over(each, now))
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
        const auto there = m_publisher.position_of(peer, now);
        const revision number = there ? there->number : revision(0);
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
    for (std::size_t i = 0; i < m_ranks.size() && i < first_peers; ++i)
    {
        first.push_back(m_ranks[i]);
    }
    if (const auto vm = control(m_random.next(), now))
    {
        first.push_back(*vm);
    }
    for (const vm_id& each : first)
    {
        if (each != m_self)
        {
            m_awaited.insert(each);
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
    message.have = have();
    m_out.push_back({to, std::move(message)});
}

void distribution_node::sync_upstream(time_point now)
{
    for (const auto& [vm, since] : m_unanswered)
    {
        if (since + m_settings.silence_timeout <= now)
        {
            m_passed_over_until[vm] = now + m_settings.penalty;
        }
    }
    std::erase_if(m_unanswered,
                  [&](const auto& each)
                  {
                      return is_passed_over(each.first, now);
                  });
    const std::optional<vm_id> followed = upstream(now);
    // Skip the sync during a snapshot transfer from the upstream, which has
    // its own retries.
    if (followed && !(m_partial && m_partial->from == *followed))
    {
        sync_with(*followed, true, true, now);
    }
}

void distribution_node::sync_control(time_point now)
{
    const bool unanswered =
        m_direct && m_unanswered.contains(*m_direct) &&
        m_unanswered.at(*m_direct) + m_settings.direct_timeout <= now;
    if (unanswered)
    {
        m_passed_over_until[*m_direct] = now + m_settings.penalty;
        m_unanswered.erase(*m_direct);
    }
    if (!unanswered && now < m_next_direct)
    {
        return;
    }
    m_next_direct = now + m_settings.direct_interval;
    m_direct = control(m_random.next(), now);
    if (m_direct && !m_partial)
    {
        sync_with(*m_direct, true, *m_direct == upstream(now), now);
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
    if (m_reported == current && !due)
    {
        return;
    }
    m_last_report = now;
    m_next_report = now + m_settings.report_interval;
    m_reported = current;
    const std::optional<vm_id> followed = upstream(now);
    for (const vm_id& vm : m_topology.controls)
    {
        sync_message message;
        message.ask = false;
        message.subscribe = vm == followed;
        message.have = have();
        message.report = current;
        m_out.push_back({vm, std::move(message)});
    }
}

void distribution_node::on(const vm_id& from,
                           const sync_message& message,
                           time_point now)
{
    m_publisher.receive(from, message, served(), now, m_out);
    if (message.have && is_newer(*message.have, have()))
    {
        sync_with(from, true, from == upstream(now), now);
        return;
    }
    if (message.have && have() &&
        compare(*message.have, *have()) == position_order::diverged)
    {
        m_refused = message.have;
    }
}

void distribution_node::on(const vm_id& from,
                           const updates_message& message,
                           time_point now)
{
    const std::optional<position> before = have();
    const adoption result = m_log.adopt(message.before, message.entries);
    if (result == adoption::adopted)
    {
        if (m_adopted.updates.empty())
        {
            m_adopted.before = *before;
        }
        const std::size_t fresh = have()->number.get() - before->number.get();
        m_adopted.updates.insert(m_adopted.updates.end(),
                                 message.entries.end() -
                                     static_cast<std::ptrdiff_t>(fresh),
                                 message.entries.end());
    }
    handle(result, from, message.before, now);
}

void distribution_node::on(const vm_id& from,
                           const part_request& message,
                           time_point now)
{
    m_publisher.receive(from, message, served(), now, m_out);
}

void distribution_node::on(const vm_id& from,
                           const snapshot_part& message,
                           time_point now)
{
    if (!is_newer(message.of, have()))
    {
        return;
    }
    const bool replaced =
        m_partial && m_partial->from == from && m_partial->of != message.of;
    const bool first = message.index == 0 && (!m_partial || replaced);
    if (first)
    {
        m_partial =
            partial_snapshot{from, message.of, message.count, 0, {}, now};
    }
    const bool expected = m_partial && m_partial->from == from &&
                          m_partial->of == message.of &&
                          m_partial->received == message.index;
    if (!expected)
    {
        return;
    }
    m_partial->bytes += message.bytes;
    ++m_partial->received;
    if (m_partial->received == m_partial->count)
    {
        finish_snapshot(now);
        return;
    }
    ask_part(from, now);
}

void distribution_node::ask_part(const vm_id& from, time_point now)
{
    m_partial->asked = now;
    m_out.push_back({from, part_request{m_partial->of, m_partial->received}});
}

void distribution_node::retry_part(time_point now)
{
    if (!m_partial || now < m_partial->asked + m_settings.part_timeout)
    {
        return;
    }
    if (is_passed_over(m_partial->from, now) ||
        !is_newer(m_partial->of, have()))
    {
        m_partial.reset();
        return;
    }
    m_unanswered.emplace(m_partial->from, m_partial->asked);
    ask_part(m_partial->from, now);
}

void distribution_node::finish_snapshot(time_point now)
{
    const partial_snapshot whole = std::move(*m_partial);
    m_partial.reset();
    outcome<config_view> view = decode_view(whole.bytes);
    const bool intact = is_ok(view) && value_of(view).where() == whole.of;
    if (!intact)
    {
        handle(adoption::malformed, whole.from, whole.of, now);
        return;
    }
    auto received =
        std::make_shared<const config_view>(value_of(std::move(view)));
    const adoption result = m_log.adopt(received);
    if (result == adoption::adopted)
    {
        m_adopted = {received, {}, received->where()};
    }
    handle(result, whole.from, whole.of, now);
    sync_with(whole.from, true, whole.from == upstream(now), now);
}

void distribution_node::handle(adoption result,
                               const vm_id& from,
                               const position& received,
                               time_point now)
{
    switch (result)
    {
    case adoption::adopted:
        after_change(from, now);
        break;
    case adoption::gap:
        // install_snapshot() requests the changes that follow the snapshot, so
        // a sync is needed only if no snapshot transfer is in progress.
        if (!m_partial)
        {
            sync_with(from, true, from == upstream(now), now);
        }
        break;
    case adoption::refused:
        m_refused = received;
        break;
    case adoption::known:
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
    const std::optional<vm_id> followed = upstream(now);
    // Send the new position to the upstream as well: it may lag if another VM
    // sent the change.
    if (followed)
    {
        sync_with(*followed, false, true, now);
    }
    if (source != followed)
    {
        sync_with(source, false, false, now);
    }
}

void distribution_node::note_answer(const vm_id& from, time_point now)
{
    m_unanswered.erase(from);
    m_awaited.erase(from);
    const auto found = m_passed_over_until.find(from);
    if (found != m_passed_over_until.end() && found->second <= now)
    {
        m_passed_over_until.erase(found);
    }
}

std::optional<vm_id> distribution_node::upstream(time_point now) const
{
    for (const vm_id& each : m_ranks)
    {
        if (each == m_self)
        {
            break;
        }
        if (!is_passed_over(each, now))
        {
            return each;
        }
    }
    return control(stable_hash(m_self.get()), now);
}

std::optional<vm_id> distribution_node::control(std::uint64_t first,
                                                time_point now) const
{
    const std::size_t count = m_topology.controls.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        const vm_id& each = m_topology.controls[(first + i) % count];
        if (!is_passed_over(each, now))
        {
            return each;
        }
    }
    return count == 0 ? std::nullopt
                      : std::optional(m_topology.controls[first % count]);
}

bool distribution_node::is_passed_over(const vm_id& vm, time_point now) const
{
    const auto found = m_passed_over_until.find(vm);
    return found != m_passed_over_until.end() && now < found->second;
}

served_config distribution_node::served() const noexcept
{
    return {m_log.view(), m_log.history()};
}

std::optional<position> distribution_node::have() const
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
