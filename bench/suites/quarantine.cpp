/// \file
/// How many servers prompt parts that crash them end, which sound parts are
/// blamed, and what the exchange among routers costs.

#include "suite.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/random.hpp>
#include <limpet/quarantine/part_quarantine.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpet::bench
{

namespace
{

using namespace quarantine;

constexpr duration step_length = milliseconds(10);
constexpr duration run_length = seconds(25);
constexpr duration update_interval = milliseconds(100);
constexpr duration server_down_time = milliseconds(3500);
/// Time of an answer after its first event until its request is known to be
/// sound, or ends.
constexpr duration survival_time = milliseconds(250);
/// Time in which routers must hear of the crashes.
constexpr duration contact_time = seconds(3);
constexpr std::uint64_t first_parts = 3;
constexpr std::uint64_t subjects = 200;
/// IPv4, TCP with timestamps, and the frame's header.
constexpr std::size_t frame_overhead_bytes = 52 + 8;

const part_key crashing(1);

/// What a run simulates.
struct scenario
{
    std::size_t routers = 12;
    std::size_t servers = 18;
    /// Sound and crashing requests of all routers together in a second.
    double sound_rate = 100;
    double crashing_rate = 6;
    /// Whether the crashing part is the first of its prompts.
    bool is_first_part = false;
    /// Whether one request without a prompt crashes servers, as it is sent
    /// again, and not a part of prompts.
    bool is_one_request = false;
    /// Crashes after which the users' rule begins to count.
    std::size_t free_crashes = 5;
    /// Servers that end for other reasons in a second.
    double other_crash_rate = 0;
    /// Share of the answers that servers break off and live on.
    double broken_share = 0;
    /// Whether routers exchange what they saw.
    bool is_shared = true;
    /// Share of the routers that restart at half of the time.
    double restarted = 0;
    evidence_settings evidence;
};

struct result
{
    std::size_t crashes = 0;
    /// Crashing requests sent when all routers should have known.
    std::size_t late = 0;
    std::size_t blamed_sound_parts = 0;
    double refused_sound_share = 0;
    /// Bytes that one router sends in a second, on average.
    double bytes_per_second = 0;
};

class simulation
{
public:
    simulation(const scenario& what, std::uint64_t seed)
        : m_scenario(what),
          m_random(seed),
          m_servers(what.servers)
    {
        for (std::size_t i = 0; i < what.routers; ++i)
        {
            start(i);
        }
        for (server_state& each : m_servers)
        {
            each.key = server_key(++m_last_key);
        }
    }

    result run()
    {
        const time_point end = m_now + run_length;
        const time_point middle = m_now + run_length / 2;
        bool has_restarted = false;
        for (time_point update_at = m_now; m_now < end; m_now += step_length)
        {
            arrive();
            begin_answers();
            if (occurs(m_scenario.other_crash_rate))
            {
                crash(m_random.below(m_servers.size()));
            }
            if (m_now >= update_at)
            {
                update_at += update_interval;
                exchange();
            }
            if (m_now >= middle && !has_restarted)
            {
                has_restarted = true;
                restart_routers();
            }
        }
        m_result.blamed_sound_parts = m_blamed.size();
        m_result.refused_sound_share =
            static_cast<double>(m_refused_sound) /
            static_cast<double>(std::max<std::size_t>(1, m_sound));
        m_result.bytes_per_second = static_cast<double>(m_bytes) /
                                    to_seconds(run_length) /
                                    static_cast<double>(m_scenario.routers);
        return m_result;
    }

private:
    struct server_state
    {
        server_key key;
        time_point down_until{};
    };

    struct flight
    {
        std::size_t router;
        std::size_t server;
        std::vector<part_key> parts;
        time_point begins_at;
        bool is_crashing;
    };

    static vm_id make_vm(std::size_t number)
    {
        return vm_id("10.0.0." + std::to_string(number));
    }

    void start(std::size_t number)
    {
        quarantine_settings settings;
        settings.evidence = m_scenario.evidence;
        const vm_id vm = make_vm(number);
        m_routers.insert_or_assign(vm, part_quarantine(vm, settings));
        for (std::size_t i = 0; m_scenario.is_shared && i < m_scenario.routers;
             ++i)
        {
            m_names.insert(make_vm(i));
        }
        for (auto& [name, each] : m_routers)
        {
            each.set_routers(m_names);
            each.on_lost(vm);
        }
    }

    void restart_routers()
    {
        const auto count = static_cast<std::size_t>(
            m_scenario.restarted * static_cast<double>(m_scenario.routers));
        for (std::size_t i = 0; i < count; ++i)
        {
            start(i);
        }
        m_restarted_at = m_now;
    }

    bool occurs(double rate)
    {
        return m_random.chance(rate * to_seconds(step_length));
    }

    part_key random_first_part()
    {
        return part_key(10 + m_random.below(first_parts));
    }

    /// Low numbers are more frequent.
    part_key random_subject()
    {
        const auto highest = 1 + m_random.below(subjects);
        return part_key(1000 + m_random.below(highest));
    }

    void arrive()
    {
        // More than one request in a step: the rate is spread over tenths.
        constexpr int tenths = 10;
        for (int i = 0; i < tenths; ++i)
        {
            if (occurs(m_scenario.sound_rate / tenths))
            {
                send({make_request_key(m_random.next()),
                      random_first_part(),
                      random_subject()},
                     false);
            }
            if (occurs(m_scenario.crashing_rate / tenths))
            {
                send(crashing_request(), true);
            }
        }
    }

    std::vector<part_key> crashing_request()
    {
        if (m_scenario.is_one_request)
        {
            return {crashing_key()};
        }
        const part_key own = make_request_key(m_random.next());
        return m_scenario.is_first_part
                   ? std::vector{own, crashing, random_subject()}
                   : std::vector{own, random_first_part(), crashing};
    }

    part_key crashing_key() const
    {
        return m_scenario.is_one_request ? make_request_key(crashing.get())
                                         : crashing;
    }

    void send(std::vector<part_key> parts, bool is_crashing)
    {
        const std::size_t router = m_random.below(m_scenario.routers);
        const bool is_admitted =
            m_routers.at(make_vm(router)).admit(parts, m_now).is_admitted;
        m_sound += is_crashing ? 0 : 1;
        if (!is_admitted)
        {
            m_refused_sound += is_crashing ? 0 : 1;
            return;
        }
        // The same server for a subject, mostly.
        std::size_t server = (m_random.chance(0.3) ? m_random.below(1000)
                                                   : parts.back().get() * 7) %
                             m_servers.size();
        for (std::size_t i = 0;
             i < m_servers.size() && m_servers[server].down_until > m_now;
             ++i)
        {
            server = (server + 1) % m_servers.size();
        }
        const bool is_known = m_counts_from &&
                              m_now > *m_counts_from + contact_time &&
                              (!m_restarted_at || m_now < *m_restarted_at ||
                               m_now > *m_restarted_at + contact_time);
        m_result.late += is_crashing && is_known ? 1 : 0;
        const duration time_to_first_event =
            milliseconds(50 + m_random.below(250));
        m_flights.push_back(
            {router,
             server,
             std::move(parts),
             m_now + time_to_first_event +
                 (is_crashing ? duration::zero() : survival_time),
             is_crashing});
    }

    void begin_answers()
    {
        for (std::size_t i = 0; i < m_flights.size();)
        {
            if (m_flights[i].begins_at > m_now)
            {
                ++i;
                continue;
            }
            if (m_flights[i].is_crashing)
            {
                crash(m_flights[i].server);
                i = 0;
                continue;
            }
            const flight begun = m_flights[i];
            m_flights.erase(m_flights.begin() + static_cast<long>(i));
            part_quarantine& router = m_routers.at(make_vm(begun.router));
            if (m_random.chance(m_scenario.broken_share))
            {
                router.on_cut_off({m_servers[begun.server].key, begun.parts},
                                  m_now);
                continue;
            }
            router.on_sound(begun.parts, m_now);
            router.on_answer(m_servers[begun.server].key, m_now);
        }
    }

    void crash(std::size_t server)
    {
        bool is_by_part = false;
        std::vector<flight> rest;
        for (flight& each : m_flights)
        {
            if (each.server != server)
            {
                rest.push_back(std::move(each));
                continue;
            }
            is_by_part |= each.is_crashing && each.begins_at <= m_now;
            m_routers.at(make_vm(each.router))
                .on_cut_off({m_servers[server].key, each.parts}, m_now);
        }
        m_flights = std::move(rest);
        m_servers[server] = {server_key(++m_last_key),
                             m_now + server_down_time};
        m_result.crashes += is_by_part ? 1 : 0;
        if (m_result.crashes == m_scenario.free_crashes && !m_counts_from)
        {
            m_counts_from = m_now;
        }
    }

    void exchange()
    {
        std::vector<std::pair<vm_id, part_quarantine::outgoing>> sent;
        for (auto& [vm, router] : m_routers)
        {
            for (auto& each : router.update(m_now))
            {
                sent.emplace_back(vm, std::move(each));
            }
            for (const quarantine_change& each : router.take_changes())
            {
                if (each.entry.part != crashing_key() &&
                    !each.entry.is_released)
                {
                    m_blamed.insert(each.entry.part);
                }
            }
        }
        for (const auto& [from, each] : sent)
        {
            const std::size_t bytes =
                encode(each.content).size() + frame_overhead_bytes;
            for (const vm_id& to : each.to)
            {
                m_bytes += bytes;
                m_routers.at(to).receive(from, each.content, m_now);
            }
        }
    }

    scenario m_scenario;
    random_source m_random;
    time_point m_now{seconds(1000)};
    std::map<vm_id, part_quarantine> m_routers;
    std::set<vm_id> m_names;
    std::vector<server_state> m_servers;
    std::vector<flight> m_flights;
    std::uint64_t m_last_key = 0;
    std::optional<time_point> m_counts_from;
    std::optional<time_point> m_restarted_at;
    std::set<part_key> m_blamed;
    std::size_t m_sound = 0;
    std::size_t m_refused_sound = 0;
    std::size_t m_bytes = 0;
    result m_result;
};

/// Returns the worst of each figure over several runs.
result worst_of_runs(const scenario& what, random_source& random)
{
    constexpr int runs = 20;
    result worst;
    for (int i = 0; i < runs; ++i)
    {
        const result each = simulation(what, random.next()).run();
        worst.crashes = std::max(worst.crashes, each.crashes);
        worst.late = std::max(worst.late, each.late);
        worst.blamed_sound_parts =
            std::max(worst.blamed_sound_parts, each.blamed_sound_parts);
        worst.refused_sound_share =
            std::max(worst.refused_sound_share, each.refused_sound_share);
        worst.bytes_per_second =
            std::max(worst.bytes_per_second, each.bytes_per_second);
    }
    return worst;
}

void note(report& figures, const std::string& name, const result& found)
{
    figures.note(name + ".crashes", static_cast<double>(found.crashes));
    figures.note(name + ".late", static_cast<double>(found.late));
    figures.note(name + ".blamed_sound_parts",
                 static_cast<double>(found.blamed_sound_parts));
    figures.note(name + ".refused_sound_share", found.refused_sound_share);
    figures.note(name + ".bytes_per_second", found.bytes_per_second);
}

void compare_ways(report& figures, random_source& random)
{
    scenario what;
    what.is_shared = false;
    note(figures, "quarantine.each_router_alone", worst_of_runs(what, random));
    what.is_shared = true;
    what.other_crash_rate = 1;
    what.broken_share = 0.05;
    for (const std::size_t crashes : {2, 3, 4, 5})
    {
        what.evidence.crashes = crashes;
        note(figures,
             "quarantine.after_" + std::to_string(crashes) + "_crashes",
             worst_of_runs(what, random));
    }
    what.evidence = {};
    what.evidence.confirmation = duration::zero();
    note(figures, "quarantine.unconfirmed", worst_of_runs(what, random));
}

void run(const suite_options& options, report& figures)
{
    random_source random(options.seed);
    compare_ways(figures, random);
    scenario what;
    const auto check = [&](const std::string& name)
    {
        const result found = worst_of_runs(what, random);
        note(figures, name, found);
        // The users' rules, and a node's share of control traffic.
        figures.at_most(name + ".late", static_cast<double>(found.late), 3);
        figures.at_most(
            name + ".refused_sound_share", found.refused_sound_share, 0.5);
        figures.at_most(
            name + ".bytes_per_second", found.bytes_per_second, 7000);
    };
    check("quarantine.subject");
    what.is_first_part = true;
    check("quarantine.first_part");
    what = {};
    what.crashing_rate = 0.4;
    check("quarantine.rare");
    what = {};
    what.restarted = 0.5;
    check("quarantine.routers_restarted");
    what = {};
    what.crashing_rate = 0;
    what.other_crash_rate = 2;
    what.broken_share = 0.05;
    check("quarantine.other_crashes");
    what = {};
    what.routers = 58;
    what.servers = 90;
    what.sound_rate = 500;
    what.crashing_rate = 30;
    check("quarantine.58_routers");
    what = {};
    what.is_one_request = true;
    what.free_crashes = 3;
    what.crashing_rate = 8;
    what.other_crash_rate = 0.5;
    check("quarantine.request");
    what.servers = 4;
    what.sound_rate = 30;
    what.other_crash_rate = 0;
    check("quarantine.request_at_4_servers");
    what.crashing_rate = 1;
    check("quarantine.rare_request");
}

const suite_registration registration({"quarantine", true, &run});

} // namespace

} // namespace limpet::bench
