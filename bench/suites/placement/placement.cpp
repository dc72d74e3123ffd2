/// \file
/// Cache reuse, first token, load and cold starts of the placement.

#include "run.hpp"
#include "standard_fleet.hpp"
#include "suite.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <utility>

namespace limpet::bench
{

namespace
{

std::string at_load(const std::string& name, double in_flight)
{
    return name + ".at" + std::to_string(static_cast<int>(in_flight));
}

/// Figures that every run of the routers has to keep.
void judge_limits(const std::string& name,
                  const measurements& routed,
                  report& figures)
{
    figures.at_most("placement.load.max_over_mean." + name,
                    routed.load_over_bound * load_multiple,
                    load_multiple);
    figures.at_most("placement.cold.peak_over_bearable." + name,
                    routed.cold_over_bearable,
                    1);
    figures.note("placement.load.unrounded." + name, routed.load_over_mean);
    figures.note("placement.refused." + name,
                 static_cast<double>(routed.refused));
}

struct reuse_bounds
{
    double in_flight = 16;
    double churn = 1;
    double steady = 0.99;
};

void judge_reuse(const std::string& name,
                 double bound,
                 const measurements& routed,
                 const measurements& greedy,
                 report& figures)
{
    figures.at_least("placement.cache_reuse." + name,
                     routed.warm_part() / greedy.warm_part(),
                     bound);
    figures.note("placement.cache_reuse." + name + ".warm_part",
                 routed.warm_part());
    figures.note("placement.cache_reuse." + name + ".imported_part",
                 routed.imported_tokens / routed.prompt_tokens);
    figures.at_most("placement.first_token.p95." + name + ".over_greedy",
                    quantile(routed.first_token_seconds, 0.95) /
                        quantile(greedy.first_token_seconds, 0.95),
                    1);
}

void note_baselines(const run_settings& settings,
                    const std::vector<turn>& turns,
                    report& figures)
{
    const std::pair<const char*, direct_kind> baselines[] = {
        {"random", direct_kind::random},
        {"least_loaded", direct_kind::least_loaded},
        {"rendezvous", direct_kind::rendezvous},
        {"alone_bounded", direct_kind::alone_bounded},
        {"greedy", direct_kind::greedy}};
    for (const auto& [name, kind] : baselines)
    {
        const measurements run = run_placement(settings, kind, turns);
        const std::string prefix = std::string("placement.baseline.") + name;
        figures.note(prefix + ".warm_part", run.warm_part());
        figures.note(prefix + ".first_token.p95",
                     quantile(run.first_token_seconds, 0.95));
        figures.note(prefix + ".load_over_bound", run.load_over_bound);
        figures.note(prefix + ".cold_over_bearable", run.cold_over_bearable);
    }
}

/// Ways to keep reuse when engines join and leave, one at a time.
void note_ways(const run_settings& settings,
               const std::vector<turn>& turns,
               report& figures)
{
    routed_settings none = standard_routers();
    none.directory = false;
    none.route.settling = duration{};
    none.route.spread_new_chats = false;
    none.dispatch.import_tokens_per_second = 0;
    routed_settings previous = none;
    previous.route.settling = std::chrono::minutes(10);
    routed_settings hints = none;
    hints.hints = true;
    hints.route.spread_new_chats = true;
    routed_settings directory = previous;
    directory.directory = true;
    directory.route.spread_new_chats = true;
    routed_settings imports = standard_routers();
    routed_settings patient = imports;
    patient.dispatch.longest_patience = duration{};
    const std::pair<const char*, routed_settings> ways[] = {
        {"rendezvous_only", none},
        {"previous_holder", previous},
        {"hint", hints},
        {"directory", directory},
        {"import_without_wait", patient},
        {"import", imports}};
    for (const auto& [name, way] : ways)
    {
        const measurements run = run_placement(settings, way, turns);
        const std::string prefix = std::string("placement.way.") + name;
        figures.note(prefix + ".warm_part", run.warm_part());
        figures.note(prefix + ".first_token.p95",
                     quantile(run.first_token_seconds, 0.95));
    }
}

void run_reuse(const suite_options& options, report& figures)
{
    for (const reuse_bounds& bounds : {reuse_bounds{2, 0.95, 0.99},
                                       reuse_bounds{8, 1, 0.99},
                                       reuse_bounds{16, 1, 0.99}})
    {
        const duration length =
            bounds.in_flight < 4 ? seconds(1500) : seconds(700);
        random_source random(options.seed);
        const auto turns = make_workload(
            standard_traffic(today_engines, bounds.in_flight, length), random);
        run_settings settings = standard_run(options.seed, length);
        const measurements steady_greedy =
            run_placement(settings, direct_kind::greedy, turns);
        const measurements steady =
            run_placement(settings, standard_routers(), turns);
        judge_reuse(at_load("steady", bounds.in_flight),
                    bounds.steady,
                    steady,
                    steady_greedy,
                    figures);
        add_churn(settings);
        const measurements greedy =
            run_placement(settings, direct_kind::greedy, turns);
        const measurements routed =
            run_placement(settings, standard_routers(), turns);
        const std::string name = at_load("churn", bounds.in_flight);
        judge_reuse(name, bounds.churn, routed, greedy, figures);
        judge_limits(name, routed, figures);
        if (bounds.in_flight == target_in_flight)
        {
            figures.at_most("placement.first_token.p95." + name,
                            quantile(routed.first_token_seconds, 0.95),
                            first_token_budget_seconds);
            figures.note("placement.directory.notes_per_request",
                         static_cast<double>(routed.notes) /
                             static_cast<double>(routed.started));
        }
        if (bounds.in_flight == 8)
        {
            note_baselines(settings, turns, figures);
            note_ways(settings, turns, figures);
        }
    }
}

/// What befalls a run, alone or with others.
struct fault
{
    const char* name;
    void (*apply)(run_settings& run,
                  routed_settings& routers,
                  workload_settings& traffic);
};

const fault faults[] = {
    {"churn",
     [](run_settings& run, routed_settings&, workload_settings&)
     {
         add_churn(run);
     }},
    {"surge",
     [](run_settings&, routed_settings&, workload_settings& traffic)
     {
         traffic.surge = 10;
         traffic.surge_from = time_point(seconds(200));
         traffic.surge_until = time_point(seconds(240));
     }},
    {"late_reports",
     [](run_settings&, routed_settings& routers, workload_settings&)
     {
         routers.report_delay = seconds(5);
     }},
    {"late_digests",
     [](run_settings&, routed_settings& routers, workload_settings&)
     {
         routers.digest_delay = seconds(5);
     }},
    {"lists_disagree",
     [](run_settings& run, routed_settings& routers, workload_settings&)
     {
         add_churn(run);
         routers.list_delay = seconds(5);
     }},
    {"silent_cold",
     [](run_settings& run, routed_settings&, workload_settings&)
     {
         run.colds = seconds(30);
     }},
};

measurements
run_with(const fault& first, const fault& second, const suite_options& options)
{
    const duration length = seconds(300);
    run_settings run = standard_run(options.seed, length);
    run.warm_up = seconds(100);
    routed_settings routers = standard_routers();
    workload_settings traffic =
        standard_traffic(today_engines, target_in_flight / 2, length);
    first.apply(run, routers, traffic);
    second.apply(run, routers, traffic);
    random_source random(options.seed + 1);
    return run_placement(run, routers, make_workload(traffic, random));
}

void keep_worst(measurements& worst, const measurements& run)
{
    worst.load_over_bound =
        std::max(worst.load_over_bound, run.load_over_bound);
    worst.load_over_mean = std::max(worst.load_over_mean, run.load_over_mean);
    worst.cold_over_bearable =
        std::max(worst.cold_over_bearable, run.cold_over_bearable);
    worst.refused += run.refused;
}

/// Runs each fault alone and each pair, and judges the worst run of each.
void run_faults(const suite_options& options, report& figures)
{
    std::array<measurements, std::size(faults)> worst;
    for (std::size_t first = 0; first < worst.size(); ++first)
    {
        for (std::size_t second = first; second < worst.size(); ++second)
        {
            const measurements run =
                run_with(faults[first], faults[second], options);
            keep_worst(worst[first], run);
            keep_worst(worst[second], run);
        }
    }
    for (std::size_t at = 0; at < worst.size(); ++at)
    {
        judge_limits(
            std::string("with_") + faults[at].name, worst[at], figures);
    }
}

/// One region of the target. Reuse is compared with greedy at scale 2 and up,
/// because greedy looks at every engine for every request.
void run_region(const suite_options& options, report& figures)
{
    const duration length = seconds(options.scale > 1 ? 240 : 40);
    workload_settings traffic =
        standard_traffic(region_engines, target_in_flight, length);
    traffic.mean_pause = seconds(6);
    traffic.long_pauses = 0;
    random_source random(options.seed + 2);
    const auto turns = make_workload(traffic, random);
    run_settings settings = standard_run(options.seed, length);
    settings.engines = region_engines;
    settings.warm_up = length * 3 / 5;
    add_churn(settings);
    settings.churn = seconds(2);
    routed_settings routers = standard_routers();
    routers.routers = region_routers;
    const measurements routed = run_placement(settings, routers, turns);
    judge_limits("region", routed, figures);
    figures.at_most("placement.first_token.p95.region",
                    quantile(routed.first_token_seconds, 0.95),
                    first_token_budget_seconds);
    figures.note("placement.cache_reuse.region.warm_part", routed.warm_part());
    if (options.scale > 1)
    {
        const measurements greedy =
            run_placement(settings, direct_kind::greedy, turns);
        judge_reuse("region", 1, routed, greedy, figures);
    }
}

void run(const suite_options& options, report& figures)
{
    run_reuse(options, figures);
    run_faults(options, figures);
    run_region(options, figures);
}

const suite_registration registration({"placement", true, &run});

} // namespace

} // namespace limpet::bench
