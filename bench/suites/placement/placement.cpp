/// \file
/// Cache reuse, load and cold starts of the placement.

#include "run.hpp"
#include "suite.hpp"

#include <string>

namespace limpet::bench
{

namespace
{

constexpr double service_seconds = 6.7;

workload_settings
traffic(std::uint32_t engines, double in_flight, duration length)
{
    workload_settings settings;
    settings.requests_per_second = engines * in_flight / service_seconds;
    settings.length = length;
    return settings;
}

run_settings churning(std::uint64_t seed, duration length)
{
    run_settings settings;
    settings.seed = seed;
    settings.length = length;
    settings.churn = seconds(60);
    settings.flap = seconds(45);
    return settings;
}

void run(const suite_options& options, report& figures)
{
    for (const double in_flight : {2.0, 8.0, 16.0})
    {
        const duration length = seconds(in_flight < 4 ? 2400 : 900);
        random_source random(options.seed);
        const auto turns =
            make_workload(traffic(20, in_flight, length), random);
        const run_settings settings = churning(options.seed, length);
        const auto note = [&](const std::string& name, const measurements& m)
        {
            const std::string at =
                name + ".at" + std::to_string(static_cast<int>(in_flight));
            figures.note(at + ".warm", m.warm_part());
            figures.note(at + ".p95", quantile(m.first_token_seconds, 0.95));
            figures.note(at + ".load_over_bound", m.load_over_bound);
            figures.note(at + ".load_over_mean", m.load_over_mean);
            figures.note(at + ".cold", m.cold_over_bearable);
            figures.note(at + ".refused", static_cast<double>(m.refused));
            figures.note(at + ".started", static_cast<double>(m.started));
        };
        note("random", run_placement(settings, direct_kind::random, turns));
        note("least",
             run_placement(settings, direct_kind::least_loaded, turns));
        note("rendezvous",
             run_placement(settings, direct_kind::rendezvous, turns));
        note("alone",
             run_placement(settings, direct_kind::alone_bounded, turns));
        note("greedy", run_placement(settings, direct_kind::greedy, turns));
        note("routed", run_placement(settings, routed_settings{}, turns));
        routed_settings hints;
        hints.hints = true;
        note("hints", run_placement(settings, hints, turns));
    }
}

const suite_registration registration({"placement", true, &run});

} // namespace

} // namespace limpet::bench
