/// \file
/// Control traffic, detection times and state of the membership.

#include "control_fleet.hpp"
#include "suite.hpp"

#include <algorithm>
#include <chrono>

namespace limpet::bench
{

namespace
{

constexpr fleet_size sizes[] = {
    {9, 1, 4, 48, 4},
    {51, 1, 4, 1500, 24},
    {200, 4, 14, 5900, 24},
    {410, 8, 28, 12000, 24},
};

/// Control budget of a node, and the part kept for configuration.
constexpr double budget_bytes_per_second = 7000;
constexpr double configuration_bytes_per_second = 1500;
constexpr double max_state_bytes = 256.0 * 1000 * 1000;
constexpr double max_core_percent = 2.5;
constexpr double max_leave_seconds = 3;
constexpr double max_load_age_seconds = 1;

constexpr auto start_time = seconds(40);
constexpr auto steady_time = seconds(10);
constexpr auto churn_time = seconds(40);

std::string prefix_of(const fleet_size& size)
{
    return "control." + std::to_string(size.routers) + "_routers.";
}

/// Runs until the condition holds and returns the seconds that it took.
template <class Condition>
double seconds_until(control_fleet& fleet, duration limit, Condition holds)
{
    constexpr auto step = milliseconds(100);
    duration waited{};
    while (waited < limit && !holds())
    {
        fleet.run(step);
        waited += step;
    }
    return to_seconds(waited);
}

/// The router of the given index, which has just joined, is left out of the
/// highest rates.
void report_traffic(const control_fleet& fleet,
                    const std::string& name,
                    duration time,
                    std::optional<std::size_t> joiner,
                    report& figures)
{
    const auto elapsed = to_seconds(time);
    double highest_sent = 0;
    double highest_received = 0;
    std::array<double, membership::traffic_count> by_class{};
    double messages = 0;
    const auto count = static_cast<double>(fleet.routers());
    for (std::size_t i = 0; i < fleet.routers(); ++i)
    {
        const auto& one = fleet.traffic_of(i);
        if (i != joiner)
        {
            highest_sent = std::max(
                highest_sent, static_cast<double>(one.total_sent()) / elapsed);
            highest_received =
                std::max(highest_received,
                         static_cast<double>(one.total_received()) / elapsed);
        }
        messages += static_cast<double>(one.messages) / elapsed / count;
        for (std::size_t kind = 0; kind < by_class.size(); ++kind)
        {
            by_class[kind] +=
                static_cast<double>(one.sent_bytes[kind]) / elapsed / count;
        }
    }
    constexpr auto bound =
        budget_bytes_per_second - configuration_bytes_per_second;
    figures.at_most(name + "bytes_per_second.sent.max", highest_sent, bound);
    figures.at_most(
        name + "bytes_per_second.received.max", highest_received, bound);
    for (std::size_t kind = 0; kind < by_class.size(); ++kind)
    {
        const auto kind_name =
            membership::to_string(static_cast<membership::traffic>(kind));
        figures.note(name + "bytes_per_second.sent.mean." +
                         std::string(kind_name),
                     by_class[kind]);
    }
    figures.note(name + "messages_per_second.mean", messages);
}

void report_state(const control_fleet& fleet,
                  const std::string& name,
                  report& figures)
{
    std::size_t most = 0;
    for (std::size_t i = 0; i < fleet.routers(); ++i)
    {
        most = std::max(most, fleet.is_up(i) ? fleet.state_bytes(i) : 0);
    }
    figures.at_most(
        name + "state_bytes.max", static_cast<double>(most), max_state_bytes);
}

/// A router fails and is replaced, an engine leaves and another restarts, all
/// in one region and within a minute. The target's 780
/// failures and restarts a day make about one in 15 minutes for a region.
void run_churn(control_fleet& fleet, const std::string& name, report& figures)
{
    fleet.reset_traffic();
    const auto victim = fleet.index_of_some_router(0);
    const auto leaver = fleet.index_of_some_engine(0);
    duration used{};
    const auto timed = [&](auto condition)
    {
        const auto taken = seconds_until(fleet, seconds(20), condition);
        used += from_seconds(taken);
        return taken;
    };
    fleet.leave_engine(leaver);
    figures.at_most(name + "engine_leave.known_everywhere_seconds",
                    timed(
                        [&]
                        {
                            return fleet.routers_offering(leaver) == 0;
                        }),
                    max_leave_seconds);
    fleet.kill(victim);
    figures.note(name + "router_failure.known_everywhere_seconds",
                 timed(
                     [&]
                     {
                         return fleet.routers_listing(victim) == 0;
                     }));
    fleet.restart(victim);
    fleet.restart_engine(leaver + 1);
    if (used < churn_time)
    {
        fleet.run(churn_time - used);
    }
    report_traffic(fleet,
                   name + "churn.",
                   std::max(used, duration(churn_time)),
                   victim,
                   figures);
    figures.note(
        name + "join.received_bytes",
        static_cast<double>(fleet.traffic_of(victim).total_received()));
}

void run_size(const fleet_size& size, std::uint64_t seed, report& figures)
{
    const auto name = prefix_of(size);
    control_fleet fleet(size, seed);
    fleet.run(start_time);
    figures.at_least(name + "complete_routers",
                     static_cast<double>(fleet.complete_routers()),
                     static_cast<double>(fleet.routers()));
    fleet.reset_traffic();
    duration oldest{};
    for (duration done{}; done < steady_time; done += milliseconds(500))
    {
        fleet.run(milliseconds(500));
        oldest = std::max(oldest, fleet.oldest_load());
    }
    figures.at_most(name + "load.age_seconds.max",
                    to_seconds(oldest),
                    max_load_age_seconds);
    report_traffic(fleet, name + "steady.", steady_time, std::nullopt, figures);
    report_state(fleet, name, figures);
    run_churn(fleet, name, figures);
}

void run(const suite_options& options, report& figures)
{
    for (const auto& size : sizes)
    {
        run_size(size, options.seed, figures);
    }
}

void run_timing(const suite_options& options, report& figures)
{
    for (const auto& size : sizes)
    {
        if (size.regions > 1)
        {
            // More regions only repeat the first one's work.
            continue;
        }
        control_fleet fleet(size, options.seed);
        fleet.run(start_time);
        const auto begin = std::chrono::steady_clock::now();
        fleet.run(steady_time);
        const auto spent = std::chrono::steady_clock::now() - begin;
        const auto share = std::chrono::duration<double>(spent).count() /
                           to_seconds(steady_time) /
                           static_cast<double>(size.routers);
        figures.at_most(
            prefix_of(size) + "core_percent", 100 * share, max_core_percent);
    }
}

const suite_registration registration({"control", true, &run});
const suite_registration
    timing_registration({"control_timing", false, &run_timing});

} // namespace

} // namespace limpet::bench
