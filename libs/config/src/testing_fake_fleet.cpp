#include <limpet/config/testing/fake_fleet.hpp>

#include <algorithm>
#include <cstdlib>

namespace limpet::config::testing
{

namespace
{

constexpr std::uint64_t frame_header_bytes = 8;
constexpr duration tick_period = milliseconds(100);

data_centre_id data_centre_name(std::size_t index)
{
    return data_centre_id("dc" + std::to_string(index));
}

} // namespace

fake_fleet::fake_fleet(const fleet_options& options)
    : m_options(options),
      m_random(options.seed),
      m_latest(options.seed)
{
    const std::size_t routers =
        options.data_centres * options.routers_per_data_centre +
        options.extra_routers;
    for (std::size_t i = 0; i < routers; ++i)
    {
        const std::size_t data_centre_index = i % options.data_centres;
        router added;
        added.vm = vm_id("router" + std::to_string(i));
        added.data_centre = data_centre_name(data_centre_index);
        m_router_index[added.vm] = i;
        m_data_centre_of[added.vm] = added.data_centre;
        m_region_of[added.vm] =
            data_centre_index / options.data_centres_per_region;
        m_routers.push_back(std::move(added));
    }
    for (std::size_t i = 0; i < options.controls; ++i)
    {
        const vm_id vm = control_name(i);
        const std::size_t data_centre_index = i % options.data_centres;
        m_control_index[vm] = i;
        m_data_centre_of[vm] = data_centre_name(data_centre_index);
        m_region_of[vm] = data_centre_index / options.data_centres_per_region;
        m_controls.push_back({state_machine(options.seed),
                              config_publisher(options.settings),
                              force_table(options.settings.report_timeout)});
    }
    for (std::size_t i = 0; i < routers; ++i)
    {
        start_router(i, false);
    }
}

vm_id fake_fleet::control_name(std::size_t index)
{
    return vm_id("control" + std::to_string(index));
}

void fake_fleet::load(const state_machine& state)
{
    m_latest = state;
    m_log_index = state.applied_index();
    for (control& each : m_controls)
    {
        each.state = state;
    }
}

command_result fake_fleet::submit(const command& order)
{
    const std::uint64_t index = ++m_log_index;
    command_result answer = m_latest.apply(index, order);
    if (const auto* done = std::get_if<accepted>(&answer))
    {
        m_submitted_at[done->number] = m_now;
    }
    for (std::size_t i = 0; i < m_controls.size(); ++i)
    {
        const double part = i == 0 ? 0 : m_random.uniform();
        const time_point when =
            m_now + from_seconds(part * to_seconds(m_options.apply_delay));
        schedule(when,
                 [this, i, index, order]
                 {
                     control& replica = m_controls[i];
                     // The delays are random, so events can run out of log
                     // order. A replica that expects another index copies the
                     // latest state.
                     if (replica.state.applied_index() + 1 != index)
                     {
                         replica.state = m_latest;
                     }
                     else
                     {
                         replica.state.apply(index, order);
                     }
                     std::vector<outgoing_message> out;
                     replica.publisher.publish(
                         {replica.state.view(), replica.state.history()},
                         m_now,
                         out);
                     send(control_name(i), out);
                 });
    }
    return answer;
}

void fake_fleet::run(duration length)
{
    const time_point end = m_now + length;
    while (m_now < end)
    {
        const time_point next_tick = m_now + tick_period;
        while (!m_events.empty() && m_events.top().at < next_tick)
        {
            const event next = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, next.at);
            next.run();
        }
        m_now = next_tick;
        tick();
    }
}

void fake_fleet::stop_router(std::size_t index, duration noticed_after)
{
    m_routers[index].node.reset();
    schedule(m_now + noticed_after,
             [this]
             {
                 update_topology();
             });
}

void fake_fleet::start_router(std::size_t index, bool with_disk)
{
    router& of = m_routers[index];
    of.node = std::make_unique<distribution_node>(
        of.vm, m_options.settings, m_options.seed * 1000 + index + of.starts);
    ++of.starts;
    if (with_disk && of.disk != nullptr)
    {
        of.node->restore(of.disk);
    }
    else
    {
        of.disk = nullptr;
        of.last.reset();
    }
    update_topology();
}

revision fake_fleet::revision_of(std::size_t index) const
{
    const auto& node = m_routers[index].node;
    const view_ptr view = node == nullptr ? nullptr : node->view();
    return view == nullptr ? revision(0) : view->where().number;
}

std::optional<duration> fake_fleet::in_force_after(revision number) const
{
    const auto found = m_served_everywhere_at.lower_bound(number);
    if (found == m_served_everywhere_at.end() ||
        !m_submitted_at.contains(number))
    {
        return std::nullopt;
    }
    return found->second - m_submitted_at.at(number);
}

force_summary fake_fleet::summary_at(std::size_t index) const
{
    return m_controls[index].force.summary(m_now);
}

std::uint64_t fake_fleet::sent_bytes(const vm_id& vm) const
{
    const auto found = m_traffic.find(vm);
    return found == m_traffic.end() ? 0 : found->second.sent;
}

std::uint64_t fake_fleet::received_bytes(const vm_id& vm) const
{
    const auto found = m_traffic.find(vm);
    return found == m_traffic.end() ? 0 : found->second.received;
}

void fake_fleet::schedule(time_point when, std::function<void()> run)
{
    m_events.push({when, ++m_event_count, std::move(run)});
}

void fake_fleet::send(const vm_id& from,
                      const std::vector<outgoing_message>& messages)
{
    for (const outgoing_message& each : messages)
    {
        const std::string bytes = encode(each.content);
        m_traffic[from].sent += bytes.size() + frame_header_bytes;
        const bool works = !m_links || m_links(from, each.to);
        if (!works || m_random.chance(m_options.loss))
        {
            continue;
        }
        const int copies = m_random.chance(m_options.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            schedule(m_now + delay_of(from, each.to),
                     [this, from, to = each.to, bytes]
                     {
                         deliver(from, to, bytes);
                     });
        }
    }
}

void fake_fleet::deliver(const vm_id& from,
                         const vm_id& to,
                         const std::string& bytes)
{
    outcome<distribution_message> message = decode_distribution(bytes);
    if (!is_ok(message))
    {
        std::abort();
    }
    m_traffic[to].received += bytes.size() + frame_header_bytes;
    const auto replica = m_control_index.find(to);
    if (replica != m_control_index.end())
    {
        deliver_to_control(replica->second, from, value_of(message));
        return;
    }
    router& of = m_routers[m_router_index.at(to)];
    if (of.node != nullptr)
    {
        send(to, of.node->receive(from, value_of(message), m_now));
        record_position(of);
    }
}

void fake_fleet::deliver_to_control(std::size_t index,
                                    const vm_id& from,
                                    const distribution_message& message)
{
    control& replica = m_controls[index];
    const served_config served{replica.state.view(), replica.state.history()};
    std::vector<outgoing_message> out;
    if (const auto* sync = std::get_if<sync_message>(&message))
    {
        replica.publisher.receive(from, *sync, served, m_now, out);
        if (sync->report)
        {
            replica.force.receive(from, *sync->report, m_now);
        }
    }
    if (const auto* part = std::get_if<part_request>(&message))
    {
        replica.publisher.receive(from, *part, served, m_now, out);
    }
    send(control_name(index), out);
}

duration fake_fleet::delay_of(const vm_id& from, const vm_id& to)
{
    duration delay = m_options.delay_within_data_centre;
    if (m_data_centre_of.at(from) != m_data_centre_of.at(to))
    {
        delay = m_options.delay_between_data_centres;
    }
    if (m_region_of.at(from) != m_region_of.at(to))
    {
        delay = m_options.delay_between_regions;
    }
    const double factor = m_random.chance(m_options.late)
                              ? 1 + 9 * m_random.uniform()
                              : 1 + m_random.uniform() / 10;
    return from_seconds(to_seconds(delay) * factor);
}

void fake_fleet::tick()
{
    for (router& each : m_routers)
    {
        if (each.node != nullptr)
        {
            send(each.vm, each.node->tick(m_now));
            record_position(each);
        }
    }
}

void fake_fleet::record_position(router& of)
{
    const view_ptr view = of.node->view();
    if (view == nullptr || view->where() == of.last)
    {
        return;
    }
    if (of.last && compare(view->where(), *of.last) != position_order::newer)
    {
        ++m_reverts;
    }
    of.last = view->where();
    of.disk = view;
    revision lowest = view->where().number;
    for (std::size_t i = 0; i < m_routers.size(); ++i)
    {
        const bool running = m_routers[i].node != nullptr;
        lowest = running ? std::min(lowest, revision_of(i)) : lowest;
    }
    m_served_everywhere_at.emplace(lowest, m_now);
}

void fake_fleet::update_topology()
{
    distribution_topology topology;
    for (std::size_t i = 0; i < m_controls.size(); ++i)
    {
        topology.controls.push_back(control_name(i));
    }
    for (router& each : m_routers)
    {
        if (each.node == nullptr)
        {
            continue;
        }
        topology.data_centre = each.data_centre;
        topology.peers.clear();
        for (const router& other : m_routers)
        {
            if (other.node != nullptr && other.vm != each.vm &&
                other.data_centre == each.data_centre)
            {
                topology.peers.push_back(other.vm);
            }
        }
        each.node->set_topology(topology);
    }
}

} // namespace limpet::config::testing
