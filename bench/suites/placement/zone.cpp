/// \file
/// Service while a data centre goes out of service and returns under load.

#include "run.hpp"
#include "standard_fleet.hpp"
#include "suite.hpp"

#include <string>

namespace limpet::bench
{

namespace
{

constexpr duration out_at = seconds(250);
constexpr duration back_at = seconds(400);
constexpr duration length = seconds(550);

struct phase
{
    const char* name;
    duration from;
    duration until;
};

constexpr phase phases[] = {{"before", seconds(150), out_at},
                            {"during", out_at, back_at},
                            {"after", back_at, length}};

run_settings move_run(std::uint64_t seed)
{
    run_settings run = standard_run(seed, length);
    run.out_at = time_point{} + out_at;
    run.back_at = time_point{} + back_at;
    return run;
}

void run(const suite_options& options, report& figures)
{
    // What three of the four data centres carry at the target's load.
    random_source random(options.seed);
    const auto turns = make_workload(
        standard_traffic(today_engines, target_in_flight * 3 / 4, length),
        random);
    routed_settings routers = standard_routers();
    routers.list_delay = milliseconds(2500);
    run_settings whole = move_run(options.seed);
    whole.warm_up = duration{};
    const measurements all = run_placement(whole, routers, turns);
    const auto lost =
        static_cast<double>(all.requests) - static_cast<double>(all.finished);
    figures.at_most("zone.move.lost", lost, 0);
    figures.note("zone.move.refused", static_cast<double>(all.refused));
    figures.at_most("zone.move.cut", static_cast<double>(all.cut), 0);
    figures.at_most("zone.move.dispatched_after_3s",
                    static_cast<double>(all.late_dispatches),
                    0);
    for (const phase& part : phases)
    {
        run_settings window = move_run(options.seed);
        window.warm_up = part.from;
        window.measure_until = time_point{} + part.until;
        const measurements found = run_placement(window, routers, turns);
        const std::string prefix = std::string("zone.move.") + part.name;
        figures.note(prefix + ".warm_part", found.warm_part());
        figures.note(prefix + ".imported_part",
                     found.imported_tokens / found.prompt_tokens);
        figures.note(prefix + ".first_token.p95",
                     quantile(found.first_token_seconds, 0.95));
        figures.at_most(prefix + ".load.max_over_mean",
                        found.load_over_bound * load_multiple,
                        load_multiple);
        figures.at_most(
            prefix + ".cold.peak_over_bearable", found.cold_over_bearable, 1);
    }
}

const suite_registration registration({"zone", true, &run});

} // namespace

} // namespace limpet::bench
