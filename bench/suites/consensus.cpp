/// \file
/// Costs of the replicated log in fake time: messages and bytes for each
/// commit, time to a leader, snapshots to laggards.

#include "suite.hpp"

#include <limpet/consensus/testing/fake_group.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace limpet::bench
{

namespace
{

using consensus::testing::fake_group;
using consensus::testing::group_options;

constexpr double seconds_in_day = 86'400;
constexpr double changes_in_day = 26'000;
constexpr double control_bytes_per_second = 7'000;
constexpr double in_force_seconds = 16;
constexpr std::size_t change_bytes = 300;
const duration longest_wait = seconds(60);

group_options options_of(std::size_t vms, std::uint64_t seed)
{
    group_options options;
    options.vms = vms;
    options.seed = seed;
    options.tick_interval = milliseconds(50);
    return options;
}

/// A group that has settled, or a failed check.
bool settle(fake_group& group)
{
    return group.run_until(
        [&]
        {
            return group.is_whole();
        },
        longest_wait);
}

void check_group(report& figures, const std::string& name, fake_group& group)
{
    const bool is_sound = settle(group) && group.checker().violation().empty();
    figures.at_least(name + ".sound", is_sound ? 1 : 0, 1);
}

/// Bytes that the leader and all others send with and without changes at the
/// target's rate.
void measure_traffic(std::size_t vms, std::uint64_t seed, report& figures)
{
    constexpr int changes = 100;
    const std::string name = "consensus.vms" + std::to_string(vms);
    fake_group group(options_of(vms, seed));
    settle(group);
    const auto before = group.sent();
    const duration gap = from_seconds(seconds_in_day / changes_in_day);
    group.run_for(changes * gap);
    const auto idle = group.sent();
    for (int i = 0; i < changes; ++i)
    {
        group.propose(group.leader().value_or(0), change_bytes);
        group.run_for(gap);
    }
    const auto busy = group.sent();
    const double span = to_seconds(changes * gap);
    const auto idle_bytes = static_cast<double>(idle.bytes - before.bytes);
    const auto busy_bytes = static_cast<double>(busy.bytes - idle.bytes);
    const auto added_messages =
        static_cast<double>(busy.messages - idle.messages) -
        static_cast<double>(idle.messages - before.messages);
    // All of the leader's messages are answered, so that it sends about half
    // of the messages and, with the entries, at most all of the bytes.
    figures.at_most(name + ".idle_bytes_per_second_all",
                    idle_bytes / span,
                    control_bytes_per_second);
    figures.at_most(name + ".busy_bytes_per_second_all",
                    busy_bytes / span,
                    control_bytes_per_second);
    figures.note(name + ".messages_per_commit", added_messages / changes);
    figures.note(name + ".bytes_per_commit",
                 (busy_bytes - idle_bytes) / changes);
    check_group(figures, name, group);
}

/// Time from the loss of the leader to the next command that is committed.
void measure_elections(std::uint64_t seed, report& figures)
{
    constexpr int elections = 50;
    fake_group group(options_of(5, seed));
    settle(group);
    std::vector<double> gaps;
    for (int i = 0; i < elections; ++i)
    {
        const std::size_t former = group.leader().value_or(0);
        const time_point lost = group.now();
        group.crash(former);
        const auto committed = group.checker().acknowledgements();
        group.run_until(
            [&]
            {
                const auto leader = group.leader();
                if (leader)
                {
                    group.propose(*leader, change_bytes);
                }
                return group.checker().acknowledgements() > committed;
            },
            longest_wait);
        gaps.push_back(to_seconds(group.now() - lost));
        group.restart(former);
        settle(group);
    }
    std::sort(gaps.begin(), gaps.end());
    figures.note("consensus.failover.seconds_p50", gaps[gaps.size() / 2]);
    figures.at_most(
        "consensus.failover.seconds_max", gaps.back(), in_force_seconds);
    check_group(figures, "consensus.failover", group);
}

/// Bytes and time to bring back a VM whose disk was replaced.
void measure_repair(std::uint64_t seed, report& figures)
{
    constexpr std::size_t state_bytes = 8UL << 20;
    group_options options = options_of(3, seed);
    options.snapshot_interval = 100;
    options.snapshot_padding = state_bytes;
    options.consensus.trailing_entries = 10;
    fake_group group(options);
    settle(group);
    for (int i = 0; i < 120; ++i)
    {
        group.propose(group.leader().value_or(0), change_bytes);
        group.run_for(milliseconds(20));
    }
    settle(group);
    const auto before = group.sent();
    const time_point lost = group.now();
    const std::size_t vm = group.leader().value_or(0) == 0 ? 1 : 0;
    group.crash(vm);
    group.wipe(vm);
    group.restart(vm);
    settle(group);
    const auto sent = group.sent().snapshot_bytes - before.snapshot_bytes;
    figures.at_most("consensus.repair.snapshot_bytes_over_state",
                    static_cast<double>(sent) /
                        static_cast<double>(state_bytes),
                    1.1);
    figures.note("consensus.repair.seconds", to_seconds(group.now() - lost));
    check_group(figures, "consensus.repair", group);
}

/// Commands a second of fake time that one batch at a time carries.
void measure_batches(std::uint64_t seed, report& figures)
{
    for (const std::size_t batch : {1, 16, 256})
    {
        constexpr int batches = 40;
        fake_group group(options_of(3, seed));
        settle(group);
        const auto before = group.sent();
        const time_point begin = group.now();
        for (int i = 0; i < batches; ++i)
        {
            const auto target = group.checker().acknowledgements() + batch;
            group.propose_many(group.leader().value_or(0), batch, change_bytes);
            while (group.checker().acknowledgements() < target &&
                   group.now() < begin + longest_wait)
            {
                group.run_for(milliseconds(1));
            }
        }
        const auto commands = static_cast<double>(batch * batches);
        const std::string name = "consensus.batch" + std::to_string(batch);
        const auto bytes =
            static_cast<double>(group.sent().bytes - before.bytes);
        figures.note(name + ".commits_per_fake_second",
                     commands / to_seconds(group.now() - begin));
        figures.note(name + ".bytes_per_commit", bytes / commands);
    }
}

void run(const suite_options& options, report& figures)
{
    measure_traffic(3, options.seed, figures);
    measure_traffic(5, options.seed, figures);
    measure_elections(options.seed, figures);
    measure_repair(options.seed, figures);
    measure_batches(options.seed, figures);
}

const suite_registration registration({"consensus", true, &run});

} // namespace

} // namespace limpet::bench
