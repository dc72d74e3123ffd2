/// \file
/// What a partner gets while the other one surges.

#include "run.hpp"
#include "standard_fleet.hpp"
#include "suite.hpp"

#include <algorithm>
#include <string>

namespace limpet::bench
{

namespace
{

constexpr duration surge_from = seconds(160);
constexpr duration surge_until = seconds(260);
constexpr std::uint64_t second_partners_chats = std::uint64_t{1} << 40U;

/// Traffic of one partner that fills half of its share at the target's load.
workload_settings partner_traffic(std::uint32_t partner, double surge)
{
    workload_settings settings =
        standard_traffic(today_engines, target_in_flight / 2, seconds(300));
    settings.partner = partner;
    settings.first_chat = partner * second_partners_chats;
    // All of the partner's teams surge.
    settings.teams = 3;
    settings.surge = surge;
    settings.surge_from = time_point{} + surge_from;
    settings.surge_until = time_point{} + surge_until;
    return settings;
}

run_settings surge_run(std::uint64_t seed)
{
    run_settings run = standard_run(seed, seconds(300));
    run.warm_up = surge_from;
    run.measure_until = time_point{} + surge_until;
    return run;
}

routed_settings shared_routers()
{
    routed_settings routers = standard_routers();
    routers.shares.partners = {{partner_id("0"), 1}, {partner_id("1"), 1}};
    return routers;
}

double part(double value, double whole)
{
    return whole > 0 ? value / whole : 0;
}

/// The first partner keeps its demand while the second one surges.
void run_surge(const suite_options& options, report& figures)
{
    random_source random(options.seed);
    const auto steady = make_workload(partner_traffic(0, 1), random);
    const auto surging = make_workload(partner_traffic(1, 10), random);
    const run_settings run = surge_run(options.seed);
    run_settings alone_run = run;
    alone_run.engines = today_engines / 2;
    const measurements alone =
        run_placement(alone_run, shared_routers(), steady);
    const measurements shared =
        run_placement(run, shared_routers(), merge_workloads(steady, surging));
    figures.at_least("admission.share.surged_partner",
                     part(static_cast<double>(shared.partner_started[0]),
                          static_cast<double>(shared.partner_arrived[0])),
                     0.99);
    const double wait = quantile(shared.wait_seconds[0], 0.95);
    const double wait_alone = quantile(alone.wait_seconds[0], 0.95);
    figures.at_most(
        "admission.wait.p95.over_alone", part(wait, wait_alone), 1.2);
    figures.note("admission.wait.p95.shared", wait);
    figures.note("admission.wait.p95.alone", wait_alone);
    figures.note("admission.wait.p95.surging",
                 quantile(shared.wait_seconds[1], 0.95));
    figures.note("admission.refused", static_cast<double>(shared.refused));
    figures.at_most("admission.load.max_over_mean",
                    shared.load_over_bound * load_multiple,
                    load_multiple);
}

/// Both partners want more than their share.
void run_both(const suite_options& options, report& figures)
{
    random_source random(options.seed + 1);
    const auto first = make_workload(partner_traffic(0, 5), random);
    const auto second = make_workload(partner_traffic(1, 10), random);
    run_settings run = surge_run(options.seed);
    // The queues need some seconds to fill.
    run.warm_up += seconds(20);
    const measurements shared =
        run_placement(run, shared_routers(), merge_workloads(first, second));
    const double total = shared.partner_tokens[0] + shared.partner_tokens[1];
    figures.at_least("admission.share.both_surge",
                     part(shared.partner_tokens[0], total / 2),
                     0.99);
}

void run(const suite_options& options, report& figures)
{
    run_surge(options, figures);
    run_both(options, figures);
}

const suite_registration registration({"admission", true, &run});

} // namespace

} // namespace limpet::bench
