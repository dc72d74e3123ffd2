/// \file
/// Time of changes, lookups and snapshots of a configuration of the target's
/// size.

#include "sample_state.hpp"
#include "suite.hpp"

#include <limpet/base/random.hpp>
#include <limpet/base/units.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpet::bench
{

namespace
{

constexpr std::size_t target_teams = 22000;
constexpr std::size_t change_count = 5000;
constexpr std::size_t copy_count = 20;
constexpr std::size_t lookup_count = 200000;
/// Ten times the target's changes a day.
constexpr double needed_changes_per_second = 10 * 26000.0 / 86400;
constexpr double nanoseconds_per_second = 1e9;

double seconds_since(time_point start)
{
    return to_seconds(monotonic_clock::now() - start);
}

void measure_changes(config::state_machine& state,
                     random_source& random,
                     report& figures)
{
    const time_point start = monotonic_clock::now();
    for (std::uint64_t i = 0; i < change_count; ++i)
    {
        const config::command order =
            make_team_change(state, random.below(target_teams), i);
        state.apply(state.applied_index() + 1, order);
    }
    const double elapsed = seconds_since(start);
    figures.at_least("config_timing.changes_per_second",
                     change_count / elapsed,
                     needed_changes_per_second);
    figures.note("config_timing.change_us", elapsed / change_count * 1e6);
}

/// Reference: a view that copies its whole map for each change.
void measure_plain_copy(const config::state_machine& state, report& figures)
{
    using plain_map =
        std::unordered_map<std::string,
                           std::shared_ptr<const config::stored<config::team>>>;
    plain_map teams;
    state.view()->objects<config::team>().for_each(
        [&](const config::stored<config::team>& each)
        {
            teams.emplace(
                each.key(),
                std::make_shared<const config::stored<config::team>>(each));
        });
    const time_point start = monotonic_clock::now();
    std::size_t copied = 0;
    for (std::size_t i = 0; i < copy_count; ++i)
    {
        plain_map copy = teams;
        copy.erase(copy.begin());
        copied += copy.size() + 1;
    }
    const double elapsed = seconds_since(start);
    figures.at_least("config_timing.plain_copy_entries",
                     static_cast<double>(copied),
                     static_cast<double>(copy_count * target_teams));
    figures.note("config_timing.plain_copy_us", elapsed / copy_count * 1e6);
}

void measure_lookups(const config::state_machine& state,
                     random_source& random,
                     report& figures)
{
    std::vector<config::sha256_digest> keys;
    for (std::size_t i = 0; i < target_teams; ++i)
    {
        keys.push_back(config::sha256(sample_key(i)));
    }
    const config::view_ptr& view = state.view();
    std::uint64_t shares = 0;
    const time_point start = monotonic_clock::now();
    for (std::size_t i = 0; i < lookup_count; ++i)
    {
        const auto* team = view->team_of_key(keys[random.below(target_teams)]);
        shares += view->parameters_of(team->value).share();
    }
    const double elapsed = seconds_since(start);
    figures.at_least(
        "config_timing.lookup_sum", static_cast<double>(shares), 1);
    figures.note("config_timing.lookup_ns",
                 elapsed / lookup_count * nanoseconds_per_second);
}

void measure_snapshots(const config::state_machine& state, report& figures)
{
    time_point start = monotonic_clock::now();
    const std::string snapshot = state.snapshot();
    figures.note("config_timing.snapshot_s", seconds_since(start));
    start = monotonic_clock::now();
    const auto restored = config::state_machine::restore(snapshot);
    figures.note("config_timing.restore_s", seconds_since(start));
    figures.at_least("config_timing.restored", is_ok(restored) ? 1 : 0, 1);
    const std::string view = config::encode_view(*state.view());
    start = monotonic_clock::now();
    const auto decoded = config::decode_view(view);
    figures.note("config_timing.router_restore_s", seconds_since(start));
    figures.at_least("config_timing.decoded", is_ok(decoded) ? 1 : 0, 1);
}

void run(const suite_options& options, report& figures)
{
    random_source random(options.seed);
    config::state_machine state = make_sample_state(target_teams);
    measure_changes(state, random, figures);
    measure_plain_copy(state, figures);
    measure_lookups(state, random, figures);
    measure_snapshots(state, figures);
}

const suite_registration registration({"config_timing", false, &run});

} // namespace

} // namespace limpet::bench
