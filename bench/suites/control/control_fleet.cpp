#include "control_fleet.hpp"

#include <algorithm>
#include <numeric>

namespace limpet::bench
{

namespace
{

constexpr auto tick_period = milliseconds(50);
constexpr auto near_delay = milliseconds(1);
constexpr auto far_delay = milliseconds(30);
constexpr auto announcement_step = milliseconds(10);
constexpr auto retry_delay = seconds(1);
constexpr std::uint32_t engine_slots = 32;
/// Length prefix and class of a frame, IP and TCP headers.
constexpr std::uint64_t frame_bytes = 8 + 40;
/// An announcement over HTTP, with its headers, and the answer.
constexpr std::uint64_t announcement_bytes = 560 + 40;
constexpr std::uint64_t announcement_answer_bytes = 240 + 40;
/// Seeds in a router's settings: all of its region and a few of each other.
constexpr std::size_t far_seeds = 2;

template <class Traffic>
std::uint64_t sum(const Traffic& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

std::size_t index(membership::traffic kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

std::uint64_t node_traffic::total_sent() const
{
    return sum(sent_bytes);
}

std::uint64_t node_traffic::total_received() const
{
    return sum(received_bytes);
}

control_fleet::control_fleet(const fleet_size& size, std::uint64_t seed)
    : m_random(seed)
{
    make_routers(size);
    make_engines(size);
    for (std::size_t i = 0; i < m_routers.size(); ++i)
    {
        start(i);
    }
}

/// Returns whether the router or engine of this index runs, if the first so
/// many of each region but the first are needed.
bool control_fleet::is_run(const fleet_size& size,
                           std::size_t index,
                           std::size_t needed)
{
    const auto region = index % size.data_centres % size.regions;
    return region == 0 || index < needed * size.regions;
}

void control_fleet::make_routers(const fleet_size& size)
{
    for (std::size_t i = 0; i < size.routers; ++i)
    {
        const auto data_centre = i % size.data_centres;
        const auto region = data_centre % size.regions;
        if (!is_run(size, i, 1))
        {
            continue;
        }
        const auto vm = "entry-" + std::to_string(i);
        router one;
        one.self = {vm_id(vm),
                    "10.0." + std::to_string(i / 250) + "." +
                        std::to_string(i % 250) + ":7400",
                    data_centre_id("dc-" + std::to_string(data_centre)),
                    region_id("region-" + std::to_string(region))};
        one.region = region;
        one.next_tick =
            m_now + nanoseconds(m_random.below(static_cast<std::uint64_t>(
                        nanoseconds(tick_period).count())));
        m_by_vm[vm] = m_routers.size();
        m_by_address[one.self.address] = m_routers.size();
        m_routers.push_back(std::move(one));
    }
}

void control_fleet::make_engines(const fleet_size& size)
{
    for (std::size_t i = 0; i < size.engines; ++i)
    {
        const auto data_centre = i % size.data_centres;
        if (!is_run(size, i, size.models))
        {
            continue;
        }
        engine one;
        one.region = data_centre % size.regions;
        one.server.engine = engine_id("engine-" + std::to_string(i));
        one.server.started = incarnation(1);
        one.server.data_centre =
            data_centre_id("dc-" + std::to_string(data_centre));
        one.server.address = "10.1." + std::to_string(i / 250) + "." +
                             std::to_string(i % 250) + ":8000";
        // Division spreads each model over all data centres.
        const auto model = i / size.data_centres % size.models;
        one.server.models = {model_id("model-" + std::to_string(model))};
        one.server.slots = engine_slots;
        one.server.checks_fencing = i % 2 == 0;
        one.next = m_now + milliseconds(m_random.below(10000));
        m_engines.push_back(std::move(one));
    }
}

std::vector<membership::peer> control_fleet::seeds_of(std::size_t index) const
{
    std::vector<membership::peer> seeds;
    std::map<std::size_t, std::size_t> far;
    for (const auto& other : m_routers)
    {
        if (other.region == m_routers[index].region ||
            far[other.region]++ < far_seeds)
        {
            seeds.push_back(other.self);
        }
    }
    return seeds;
}

void control_fleet::start(std::size_t index)
{
    auto& one = m_routers[index];
    one.process =
        std::make_unique<membership::node>(membership::settings{},
                                           one.self,
                                           incarnation(1000 * ++one.starts),
                                           seeds_of(index),
                                           m_random.next(),
                                           m_now);
}

void control_fleet::kill(std::size_t which)
{
    m_routers[which].process.reset();
}

void control_fleet::leave(std::size_t which)
{
    carry_out(which, m_routers[which].process->leave(m_now));
}

void control_fleet::restart(std::size_t which)
{
    start(which);
}

void control_fleet::restart_engine(std::size_t which)
{
    auto& server = m_engines[which].server;
    server.started = incarnation(server.started.get() + 1);
    m_engines[which].next = m_now;
}

void control_fleet::leave_engine(std::size_t which)
{
    m_engines[which].server.leaving = true;
    m_engines[which].next = m_now;
}

void control_fleet::reset_traffic()
{
    for (auto& one : m_routers)
    {
        one.traffic = {};
    }
}

void control_fleet::carry_out(std::size_t from, membership::actions todo)
{
    auto& sender = m_routers[from];
    for (auto& one : todo)
    {
        auto* output = std::get_if<membership::send_message>(&one);
        if (output == nullptr)
        {
            continue;
        }
        const auto size = output->bytes.size() + frame_bytes;
        sender.traffic.sent_bytes[index(output->kind)] += size;
        const auto to = m_by_vm.at(output->to.get());
        auto& receiver = m_routers[to];
        if (receiver.process == nullptr)
        {
            continue;
        }
        receiver.traffic.received_bytes[index(output->kind)] += size;
        const auto delay =
            sender.region == receiver.region ? near_delay : far_delay;
        m_flights.emplace(m_now + delay,
                          flight{to, output->kind, std::move(output->bytes)});
    }
}

void control_fleet::deliver()
{
    while (!m_flights.empty() && m_flights.begin()->first <= m_now)
    {
        const auto one = std::move(m_flights.begin()->second);
        m_flights.erase(m_flights.begin());
        auto& receiver = m_routers[one.to];
        if (receiver.process != nullptr)
        {
            ++receiver.traffic.messages;
            carry_out(one.to, receiver.process->receive(one.bytes, m_now));
        }
    }
}

void control_fleet::run(duration time)
{
    const auto end = m_now + time;
    while (m_now < end)
    {
        m_now += near_delay;
        deliver();
        if (m_now >= m_next_announcements)
        {
            m_next_announcements = m_now + announcement_step;
            announce_due();
        }
        for (std::size_t i = 0; i < m_routers.size(); ++i)
        {
            auto& one = m_routers[i];
            if (one.process == nullptr || one.next_tick > m_now)
            {
                continue;
            }
            one.next_tick += tick_period;
            carry_out(i, one.process->tick(m_now));
        }
    }
}

std::size_t control_fleet::some_router_of(std::size_t region)
{
    for (;;)
    {
        const auto index = m_random.below(m_routers.size());
        if (m_routers[index].region == region &&
            m_routers[index].process != nullptr)
        {
            return index;
        }
    }
}

void control_fleet::announce_due()
{
    for (auto& one : m_engines)
    {
        if (one.next <= m_now)
        {
            announce(one);
        }
    }
}

void control_fleet::announce(engine& one)
{
    auto to = one.owner.value_or(some_router_of(one.region));
    if (m_routers[to].process == nullptr)
    {
        to = some_router_of(one.region);
    }
    auto& receiver = m_routers[to];
    const auto kind = index(membership::traffic::announcements);
    receiver.traffic.received_bytes[kind] += announcement_bytes;
    receiver.traffic.sent_bytes[kind] += announcement_answer_bytes;
    const auto result = receiver.process->announce(one.server, m_now);
    if (!is_ok(result))
    {
        one.next = m_now + retry_delay;
        return;
    }
    const auto& answer = value_of(result);
    one.next = m_now + answer.renew_after;
    const auto found = m_by_address.find(answer.owner_address);
    const auto owner = found == m_by_address.end()
                           ? std::nullopt
                           : std::optional(found->second);
    if (owner != one.owner)
    {
        set_load(one, 0);
        one.owner = owner;
    }
    set_load(one, engine_slots / 2);
}

void control_fleet::set_load(const engine& one, std::uint32_t in_flight)
{
    if (one.owner && m_routers[*one.owner].process != nullptr)
    {
        m_routers[*one.owner].process->set_load(
            one.server.engine, {in_flight, engine_slots, true});
    }
}

std::size_t control_fleet::index_of_some_router(std::size_t region) const
{
    const auto found = std::ranges::find(m_routers, region, &router::region);
    return static_cast<std::size_t>(found - m_routers.begin());
}

std::size_t control_fleet::index_of_some_engine(std::size_t region) const
{
    const auto found = std::ranges::find(m_engines, region, &engine::region);
    return static_cast<std::size_t>(found - m_engines.begin());
}

std::size_t control_fleet::routers_listing(std::size_t other)
{
    const auto& vm = m_routers[other].self.vm;
    return static_cast<std::size_t>(std::ranges::count_if(
        m_routers,
        [&](const router& one)
        {
            return one.process != nullptr && &one != &m_routers[other] &&
                   one.process->snapshot()->find_router(vm) != nullptr;
        }));
}

std::size_t control_fleet::routers_offering(std::size_t which)
{
    const auto& id = m_engines[which].server.engine;
    return static_cast<std::size_t>(std::ranges::count_if(
        m_routers,
        [&](const router& one)
        {
            if (one.process == nullptr)
            {
                return false;
            }
            const auto current = one.process->snapshot();
            const auto* entry = current->find_engine(id);
            return entry != nullptr && entry->engine->accepts_work();
        }));
}

std::size_t control_fleet::engines_in(std::size_t region) const
{
    return static_cast<std::size_t>(
        std::ranges::count(m_engines, region, &engine::region));
}

std::size_t control_fleet::routers_in(std::size_t region) const
{
    return static_cast<std::size_t>(
        std::ranges::count(m_routers, region, &router::region));
}

std::size_t control_fleet::complete_routers()
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_routers,
        [&](const router& one)
        {
            if (one.process == nullptr)
            {
                return false;
            }
            const auto current = one.process->snapshot();
            return current->engines().size() == engines_in(one.region) &&
                   current->routers().size() == routers_in(one.region);
        }));
}

duration control_fleet::oldest_load()
{
    duration oldest{};
    for (const auto& one : m_routers)
    {
        if (one.process == nullptr)
        {
            continue;
        }
        const auto load = one.process->load_of(model_id("model-0"), m_now);
        oldest = std::max(oldest, load ? load->age : duration::max());
    }
    return oldest;
}

} // namespace limpet::bench
