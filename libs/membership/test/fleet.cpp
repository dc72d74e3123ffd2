#include "fleet.hpp"

namespace limpet::membership
{

namespace
{

constexpr auto step = milliseconds(50);

peer peer_of(const router_location& where)
{
    return {vm_id(where.vm),
            where.vm + ":7000",
            data_centre_id(where.data_centre),
            region_id(where.region)};
}

} // namespace

std::vector<router_location> make_locations(const std::string& data_centres,
                                            std::size_t routers_each)
{
    std::vector<router_location> all;
    for (const char data_centre : data_centres)
    {
        for (std::size_t i = 1; i <= routers_each; ++i)
        {
            all.push_back(
                {data_centre + std::to_string(i), std::string(1, data_centre)});
        }
    }
    return all;
}

announcement make_engine(const std::string& id,
                         const std::string& data_centre,
                         std::uint64_t started)
{
    announcement server;
    server.engine = engine_id(id);
    server.started = incarnation(started);
    server.data_centre = data_centre_id(data_centre);
    server.address = id + ":9000";
    server.models = {model_id("m")};
    server.slots = 16;
    return server;
}

fleet::fleet(std::vector<router_location> all, std::uint64_t seed)
    : random(seed),
      m_locations(std::move(all))
{
    for (const auto& where : m_locations)
    {
        start(where.vm);
    }
}

void fleet::start(const std::string& vm)
{
    std::vector<peer> seeds;
    peer self;
    for (const auto& where : m_locations)
    {
        seeds.push_back(peer_of(where));
        if (where.vm == vm)
        {
            self = seeds.back();
        }
    }
    const auto started = incarnation(1000 * ++m_incarnations[vm]);
    m_nodes[vm] = std::make_unique<node>(
        settings{}, self, started, seeds, random.next(), now);
}

void fleet::kill(const std::string& vm)
{
    m_nodes.erase(vm);
}

void fleet::leave(const std::string& vm)
{
    execute(vm, at(vm).leave(now));
}

std::vector<std::string> fleet::up() const
{
    std::vector<std::string> names;
    for (const auto& [vm, one] : m_nodes)
    {
        names.push_back(vm);
    }
    return names;
}

void fleet::execute(const std::string& vm, actions todo)
{
    for (auto& one : todo)
    {
        if (std::holds_alternative<superseded>(one))
        {
            superseded_vms.push_back(vm);
        }
        auto* output = std::get_if<send_message>(&one);
        if (output == nullptr)
        {
            continue;
        }
        ++messages;
        bytes += output->bytes.size();
        const auto& to = output->to.get();
        if ((is_cut && is_cut(vm, to)) || random.chance(loss))
        {
            continue;
        }
        const auto delay = nanoseconds(
            1 + random.below(static_cast<std::uint64_t>(max_delay.count())));
        m_in_flight.emplace(
            now + delay, in_flight_message{vm, to, std::move(output->bytes)});
    }
}

void fleet::deliver()
{
    while (!m_in_flight.empty() && m_in_flight.begin()->first <= now)
    {
        const auto one = std::move(m_in_flight.begin()->second);
        m_in_flight.erase(m_in_flight.begin());
        if (is_up(one.to))
        {
            execute(one.to, at(one.to).receive(one.bytes, now));
        }
    }
}

void fleet::run(duration time, const std::function<void()>& check)
{
    const auto end = now + time;
    while (now < end)
    {
        const auto target = now + step;
        while (!m_in_flight.empty() && m_in_flight.begin()->first <= target)
        {
            now = std::max(now, m_in_flight.begin()->first);
            deliver();
        }
        now = target;
        renew();
        for (const auto& vm : up())
        {
            execute(vm, at(vm).tick(now));
        }
        if (check)
        {
            check();
        }
    }
}

bool fleet::announce(const std::string& vm, const announcement& server)
{
    const auto accepted = is_ok(at(vm).announce(server, now));
    execute(vm, at(vm).tick(now));
    return accepted;
}

void fleet::keep_alive(const announcement& server,
                       std::vector<std::string> through)
{
    m_renewing[server.engine.get()] = {server, std::move(through), now};
}

void fleet::renew()
{
    for (auto& [engine, one] : m_renewing)
    {
        if (now < one.next)
        {
            continue;
        }
        const auto& vm = one.through[random.below(one.through.size())];
        const bool accepted = is_up(vm) && announce(vm, one.server);
        one.next = now + (accepted ? seconds(10) : seconds(1));
    }
}

ownership_mode fleet::mode(const std::string& vm, const std::string& engine)
{
    return at(vm).ownership_of(engine_id(engine), now).mode;
}

std::string fleet::owner(const std::string& vm, const std::string& engine)
{
    const auto current = at(vm).snapshot();
    const auto* found = current->owner_of(engine_id(engine));
    return found == nullptr ? std::string() : found->self.vm.get();
}

} // namespace limpet::membership
