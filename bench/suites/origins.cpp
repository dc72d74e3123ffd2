/// \file
/// What sharing the beginnings of streams costs, and what it loses when routers
/// are killed or cut off.

#include "suite.hpp"

#include <limpet/base/random.hpp>
#include <limpet/origins/origin_exchange.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpet::bench
{

namespace
{

using namespace origins;

const service_key service(1);
const version_key version(2);
constexpr duration lifetime = seconds(25);
constexpr int data_centres = 4;
constexpr int streams_of_router = 20;
/// IPv4, TCP with timestamps, and the frame's header.
constexpr std::size_t frame_overhead_bytes = 52 + 8;

vm_id make_vm(int number)
{
    return vm_id("10.0.0." + std::to_string(number));
}

/// Routers whose frames arrive at once unless a link is cut.
class fleet
{
public:
    fleet(int count, std::size_t backups)
        : m_backups(backups)
    {
        for (int i = 0; i < count; ++i)
        {
            m_map[make_vm(i)] =
                data_centre_id(std::to_string(i % data_centres));
        }
        for (const auto& [vm, data_centre] : m_map)
        {
            start(vm);
        }
    }

    int size() const
    {
        return static_cast<int>(m_map.size());
    }

    /// Each router begins some streams.
    void begin_streams()
    {
        for (int i = 0; i < size(); ++i)
        {
            for (int k = 0; k < streams_of_router; ++k)
            {
                send(make_vm(i),
                     m_routers.at(make_vm(i))
                         ->record({stream_of(i, k), service, version, lifetime},
                                  m_now));
            }
        }
    }

    void cut_off(const data_centre_id& data_centre)
    {
        m_cut_off = data_centre;
    }

    /// Kills the routers; they start again without memory.
    void kill(const std::set<int>& routers)
    {
        for (const int each : routers)
        {
            for (const auto& [vm, other] : m_routers)
            {
                other->on_lost(make_vm(each));
            }
        }
        for (const int each : routers)
        {
            start(make_vm(each));
        }
    }

    /// Returns the share of the router's streams whose beginning another one
    /// cannot find out.
    double lost_share(int begun_by, int at)
    {
        int lost = 0;
        for (int k = 0; k < streams_of_router; ++k)
        {
            origin_exchange& asking = *m_routers.at(make_vm(at));
            const stream_key stream = stream_of(begun_by, k);
            if (!asking.find(stream, m_now))
            {
                send(make_vm(at), asking.ask({stream, service, lifetime}));
                asking.stop_awaiting(stream);
            }
            lost += asking.find(stream, m_now) ? 0 : 1;
        }
        return static_cast<double>(lost) / streams_of_router;
    }

    std::size_t sent_bytes() const
    {
        return m_sent_bytes;
    }

private:
    static stream_key stream_of(int router, int number)
    {
        return stream_key(
            static_cast<std::uint64_t>(router) * streams_of_router + number);
    }

    void start(const vm_id& vm)
    {
        m_routers[vm] = std::make_unique<origin_exchange>(
            vm,
            m_map.at(vm),
            [](service_key, duration)
            {
                return std::nullopt;
            },
            m_backups);
        m_routers[vm]->set_routers(m_map, m_now);
        m_routers[vm]->set_shared_services({service}, m_now);
    }

    bool is_cut(const vm_id& a, const vm_id& b) const
    {
        return (m_map.at(a) == m_cut_off) != (m_map.at(b) == m_cut_off);
    }

    void send(const vm_id& from,
              const std::vector<origin_exchange::addressed_message>& messages)
    {
        for (const auto& [to, each] : messages)
        {
            m_sent_bytes += encode(each).size() + frame_overhead_bytes;
            if (is_cut(from, to))
            {
                m_routers.at(from)->on_lost(to);
                continue;
            }
            send(to, m_routers.at(to)->receive(from, each, m_now));
        }
    }

    std::size_t m_backups;
    time_point m_now{seconds(100)};
    router_map m_map;
    std::map<vm_id, std::unique_ptr<origin_exchange>> m_routers;
    data_centre_id m_cut_off;
    std::size_t m_sent_bytes = 0;
};

/// Returns the mean share of killed routers' streams that are lost to the
/// routers that live on, or that come back if all are killed.
double lost_after_kill(int routers,
                       std::size_t backups,
                       double share,
                       random_source& random)
{
    constexpr int trials = 20;
    double lost = 0;
    int asked = 0;
    for (int trial = 0; trial < trials; ++trial)
    {
        fleet all(routers, backups);
        all.begin_streams();
        std::set<int> killed;
        while (static_cast<double>(killed.size()) < share * routers)
        {
            killed.insert(static_cast<int>(
                random.below(static_cast<std::uint64_t>(routers))));
        }
        all.kill(killed);
        for (const int each : killed)
        {
            lost += all.lost_share(each,
                                   static_cast<int>(random.below(
                                       static_cast<std::uint64_t>(routers))));
            ++asked;
        }
    }
    return lost / asked;
}

/// Returns the share of the streams that a router of a cut-off data centre
/// began, and which are lost when it is killed, to its neighbour there.
double lost_within_cut(int routers, std::size_t backups)
{
    fleet all(routers, backups);
    all.cut_off(data_centre_id("0"));
    all.begin_streams();
    all.kill({0});
    return all.lost_share(0, data_centres);
}

double bytes_of_stream(int routers, std::size_t backups)
{
    fleet all(routers, backups);
    all.begin_streams();
    return static_cast<double>(all.sent_bytes()) /
           (routers * streams_of_router);
}

double bytes_of_question(int routers)
{
    fleet all(routers, origin_exchange::default_backups);
    all.lost_share(0, 1);
    return static_cast<double>(all.sent_bytes()) / streams_of_router;
}

std::string to_name(std::size_t backups, int routers)
{
    return backups >= static_cast<std::size_t>(routers)
               ? "all"
               : std::to_string(backups);
}

void run(const suite_options& options, report& figures)
{
    random_source random(options.seed);
    for (const int routers : {8, 58})
    {
        const std::string fleet_name =
            "origins.routers_" + std::to_string(routers);
        for (const std::size_t backups : {0, 1, 2, 3, 58})
        {
            const std::string name =
                fleet_name + ".backups_" + to_name(backups, routers);
            figures.note(name + ".bytes_per_stream",
                         bytes_of_stream(routers, backups));
            figures.note(name + ".lost_after_kill_of_0.4",
                         lost_after_kill(routers, backups, 0.4, random));
            figures.note(name + ".lost_after_kill_of_0.6",
                         lost_after_kill(routers, backups, 0.6, random));
            figures.note(name + ".lost_within_cut",
                         lost_within_cut(routers, backups));
        }
        const std::size_t chosen = origin_exchange::default_backups;
        // A node of the target begins 73 streams a second. Half of its 7 KB/s
        // of control traffic, while a tenth of the services is upgraded.
        figures.at_most(fleet_name + ".bytes_per_stream",
                        bytes_of_stream(routers, chosen),
                        0.5 * 7000 / (73 * 0.1));
        // 100 routers of the target fail a day, each with 12 s of its streams;
        // a twentieth of the fleet's control traffic.
        figures.at_most(fleet_name + ".bytes_per_question",
                        bytes_of_question(routers),
                        0.05 * 7000 * 86'400 * routers / (100 * 73 * 12));
        figures.at_most(fleet_name + ".lost_after_kill_of_0.4",
                        lost_after_kill(routers, chosen, 0.4, random),
                        0.25);
        figures.at_most(fleet_name + ".lost_within_cut",
                        lost_within_cut(routers, chosen),
                        0);
    }
}

const suite_registration registration({"origins", true, &run});

} // namespace

} // namespace limpet::bench
