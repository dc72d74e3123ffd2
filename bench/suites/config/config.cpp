/// \file
/// Size of the configuration, and bytes and delay of its distribution.

#include "sample_state.hpp"
#include "suite.hpp"

#include <limpet/base/random.hpp>
#include <limpet/config/testing/fake_fleet.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace limpet::bench
{

namespace
{

using config::testing::fake_fleet;
using config::testing::fleet_options;

constexpr std::size_t target_teams = 22000;
constexpr double target_changes_per_second = 26000.0 / 86400;
constexpr double budget_megabytes = 256;
constexpr double budget_bytes_per_second = 7000;
constexpr double in_force_bound_seconds = 16;
constexpr double in_force_aim_seconds = 1;
constexpr double bytes_per_megabyte = 1e6;
constexpr std::size_t fleet_teams = 200;

void measure_sizes(report& figures)
{
    const std::uint64_t empty = heap_bytes();
    config::state_machine state = config::state_machine(1);
    state = make_sample_state(target_teams);
    const double control_bytes = static_cast<double>(heap_bytes() - empty);
    figures.at_most("config.control_state_mb",
                    control_bytes / bytes_per_megabyte,
                    budget_megabytes);

    const std::string encoded = config::encode_view(*state.view());
    const std::uint64_t before = heap_bytes();
    const auto view = config::decode_view(encoded);
    const double view_bytes = static_cast<double>(heap_bytes() - before);
    figures.at_most("config.router_view_mb",
                    view_bytes / bytes_per_megabyte,
                    budget_megabytes);
    figures.note("config.view_bytes_per_team", view_bytes / target_teams);
    figures.note("config.router_snapshot_mb",
                 static_cast<double>(encoded.size()) / bytes_per_megabyte);
    figures.note("config.router_snapshot_bytes_per_team",
                 static_cast<double>(encoded.size()) / target_teams);
    figures.note("config.control_snapshot_mb",
                 static_cast<double>(state.snapshot().size()) /
                     bytes_per_megabyte);

    const config::command order = make_team_change(state, 7, 1);
    state.apply(state.applied_index() + 1, order);
    figures.note("config.command_bytes",
                 static_cast<double>(config::encode(order).size()));
    figures.note("config.update_bytes",
                 static_cast<double>(state.history().back().encoded.size()));
}

/// One run of a fleet under a rate of changes.
struct fleet_run
{
    std::string name;
    fleet_options options;
    double changes_per_second = 0;
    duration length;
    double in_force_bound = in_force_bound_seconds;
    /// Whether this is only a reference: a way that was weighed and not taken.
    bool reference = false;
};

/// Adds a figure with its bound, without one for a reference.
void judge(report& figures,
           const fleet_run& run,
           const std::string& name,
           double value,
           double bound)
{
    if (run.reference)
    {
        figures.note(name, value);
        return;
    }
    figures.at_most(name, value, bound);
}

double quantile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    const double place = part * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(place))];
}

void submit_changes(fake_fleet& fleet, const fleet_run& run)
{
    random_source random(run.options.seed + 1);
    const time_point end = fleet.now() + run.length;
    std::uint64_t number = 0;
    while (fleet.now() < end)
    {
        const double wait = random.exponential(1 / run.changes_per_second);
        fleet.run(from_seconds(wait));
        fleet.submit(make_team_change(
            fleet.state(), random.below(fleet_teams), ++number));
    }
    // The last changes arrive.
    fleet.run(from_seconds(2 * in_force_bound_seconds));
}

void measure_in_force(const fake_fleet& fleet,
                      const fleet_run& run,
                      std::uint64_t first,
                      report& figures)
{
    const std::uint64_t last = fleet.state().view()->where().number.get();
    std::vector<double> delays;
    for (std::uint64_t number = first + 1; number <= last; ++number)
    {
        const auto delay = fleet.in_force_after(revision(number));
        delays.push_back(delay ? to_seconds(*delay) : 1e9);
    }
    const std::string prefix = "config.in_force." + run.name;
    figures.note(prefix + ".changes", static_cast<double>(delays.size()));
    figures.note(prefix + ".p50_s", quantile(delays, 0.5));
    judge(figures,
          run,
          prefix + ".p99_s",
          quantile(delays, 0.99),
          run.in_force_bound);
    judge(figures,
          run,
          prefix + ".max_s",
          quantile(delays, 1),
          in_force_bound_seconds);
}

std::vector<vm_id> nodes_of(const fake_fleet& fleet, const fleet_run& run)
{
    std::vector<vm_id> out;
    for (std::size_t i = 0; i < run.options.controls; ++i)
    {
        out.push_back(fake_fleet::control_name(i));
    }
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        out.push_back(fleet.name_of(i));
    }
    return out;
}

/// Returns the bytes of each node so far, sent and received, control replicas
/// first.
std::vector<std::uint64_t> traffic_of(const fake_fleet& fleet,
                                      const fleet_run& run)
{
    std::vector<std::uint64_t> out;
    for (const vm_id& vm : nodes_of(fleet, run))
    {
        out.push_back(fleet.sent_bytes(vm) + fleet.received_bytes(vm));
    }
    return out;
}

void measure_traffic(const fake_fleet& fleet,
                     const fleet_run& run,
                     const std::vector<std::uint64_t>& before,
                     double elapsed_seconds,
                     report& figures)
{
    const std::vector<std::uint64_t> after = traffic_of(fleet, run);
    double control_max = 0;
    double router_max = 0;
    double router_sum = 0;
    for (std::size_t i = 0; i < after.size(); ++i)
    {
        const double rate =
            static_cast<double>(after[i] - before[i]) / elapsed_seconds;
        const bool control = i < run.options.controls;
        control_max = std::max(control_max, control ? rate : 0);
        router_max = std::max(router_max, control ? 0 : rate);
        router_sum += control ? 0 : rate;
    }
    const std::string prefix = "config.bytes_per_second." + run.name;
    judge(figures,
          run,
          prefix + ".control_max",
          control_max,
          budget_bytes_per_second);
    judge(figures,
          run,
          prefix + ".router_max",
          router_max,
          budget_bytes_per_second);
    figures.note(prefix + ".router_mean",
                 router_sum / static_cast<double>(fleet.size()));
}

void measure_fleet(const fleet_run& run, report& figures)
{
    fake_fleet fleet(run.options);
    fleet.load(make_sample_state(fleet_teams));
    fleet.run(seconds(10));
    const std::uint64_t first = fleet.state().view()->where().number.get();
    const std::vector<std::uint64_t> before = traffic_of(fleet, run);
    const time_point start = fleet.now();
    submit_changes(fleet, run);
    const double elapsed = to_seconds(fleet.now() - start);
    measure_in_force(fleet, run, first, figures);
    measure_traffic(fleet, run, before, elapsed, figures);
    figures.at_most(
        "config.reverts." + run.name, static_cast<double>(fleet.reverts()), 0);
}

fleet_options today(std::uint64_t seed)
{
    fleet_options out;
    out.seed = seed;
    out.data_centres = 4;
    out.routers_per_data_centre = 2;
    out.extra_routers = 1;
    return out;
}

fleet_options target(std::uint64_t seed)
{
    fleet_options out;
    out.seed = seed;
    out.controls = 5;
    out.data_centres = 28;
    out.routers_per_data_centre = 14;
    out.extra_routers = 18;
    out.delay_between_regions = milliseconds(100);
    out.apply_delay = milliseconds(300);
    return out;
}

/// Each router follows control itself.
fleet_options star(std::uint64_t seed)
{
    fleet_options out = target(seed);
    out.data_centres = 410;
    out.routers_per_data_centre = 1;
    out.extra_routers = 0;
    out.data_centres_per_region = 52;
    return out;
}

fleet_options with_loss(fleet_options from)
{
    from.loss = 0.02;
    from.duplication = 0.02;
    from.late = 0.02;
    return from;
}

void run(const suite_options& options, report& figures)
{
    const std::uint64_t seed = options.seed;
    const auto scale = static_cast<std::int64_t>(options.scale);
    measure_sizes(figures);
    const double rate = target_changes_per_second;
    const double aim = in_force_aim_seconds;
    const double bound = in_force_bound_seconds;
    const fleet_run runs[] = {
        {"9_routers", today(seed), rate, seconds(1200) * scale, aim},
        {"9_routers_10x", today(seed), 10 * rate, seconds(300) * scale, bound},
        {"9_routers_loss",
         with_loss(today(seed)),
         rate,
         seconds(1200) * scale,
         bound},
        {"410_routers", target(seed), rate, seconds(180) * scale, bound},
        {"410_routers_loss",
         with_loss(target(seed)),
         rate,
         seconds(180) * scale,
         bound},
        {"410_routers_star",
         star(seed),
         rate,
         seconds(180) * scale,
         bound,
         true},
    };
    for (const fleet_run& each : runs)
    {
        measure_fleet(each, figures);
    }
}

const suite_registration registration({"config", true, &run});

} // namespace

} // namespace limpet::bench
