/// \file
/// Tests of groups that any VM may join. The seed VMs found the group, other
/// VMs join it, and newly joined VMs replace lost voters.

#include <limpet/consensus/node.hpp>

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <set>

using namespace limpet;
using namespace limpet::consensus;

namespace
{

constexpr duration tick_length = milliseconds(50);

/// Returns the number of bytes of entries or of a snapshot in a message.
std::size_t size_of(const message& sent)
{
    if (const auto* append = std::get_if<append_request>(&sent.body))
    {
        std::size_t bytes = 0;
        for (const storage::log_entry& each : append->entries)
        {
            bytes += each.data.size();
        }
        return bytes;
    }
    const auto* chunk = std::get_if<snapshot_chunk>(&sent.body);
    return chunk == nullptr ? 0 : chunk->bytes.size();
}

/// Nodes with reliable disks, on a network that drops messages from and to
/// nodes that are down.
struct seeded_group
{
    std::map<vm_id, node> nodes;
    std::set<vm_id> down;
    std::deque<message> sent;
    std::map<vm_id, std::vector<request_result>> results;
    time_point now{seconds(100)};
    settings options;
    /// Bytes of entries and snapshots sent to each VM.
    std::map<vm_id, std::size_t> bytes_sent;

    seeded_group()
    {
        options.lost_voter_timeout = seconds(3);
    }

    void start(const std::string& name,
               std::vector<vm_id> seeds,
               bool may_found,
               std::uint64_t storage = 1)
    {
        node_start begin;
        begin.self = vm_id(name);
        begin.group = std::move(seeds);
        begin.may_found = may_found;
        begin.accepts_any_vm = true;
        begin.state.storage = incarnation(storage);
        begin.seed = std::hash<std::string>{}(name) + storage;
        node made(options, std::move(begin), now);
        nodes.insert_or_assign(vm_id(name), std::move(made));
        down.erase(vm_id(name));
    }

    void execute(const vm_id& vm, actions work)
    {
        for (message& each : work.sends)
        {
            sent.push_back(std::move(each));
        }
        for (const request_result& each : work.results)
        {
            results[vm].push_back(each);
        }
        if (!work.persists.empty())
        {
            step(vm, persisted{work.persists.back().number});
        }
    }

    void step(const vm_id& vm, event what)
    {
        execute(vm, nodes.at(vm).step(now, std::move(what)));
    }

    void deliver()
    {
        while (!sent.empty())
        {
            message next = std::move(sent.front());
            sent.pop_front();
            const vm_id to = next.to.vm;
            bytes_sent[to] += size_of(next);
            if (nodes.contains(to) && !down.contains(to) &&
                !down.contains(next.from.vm))
            {
                step(to, message_received{std::move(next)});
            }
        }
    }

    void run_for(duration span)
    {
        const time_point end = now + span;
        while (now < end)
        {
            now += tick_length;
            for (auto& [vm, each] : nodes)
            {
                if (!down.contains(vm))
                {
                    step(vm, tick{});
                }
            }
            deliver();
        }
    }

    std::vector<vm_id> leaders() const
    {
        std::vector<vm_id> result;
        for (const auto& [vm, each] : nodes)
        {
            if (!down.contains(vm) && each.view(now).role == node_role::leader)
            {
                result.push_back(vm);
            }
        }
        return result;
    }

    std::size_t voters() const
    {
        return nodes.at(leaders().at(0)).view(now).members.voters();
    }
};

std::vector<vm_id> seeds_abc()
{
    return {vm_id("a"), vm_id("b"), vm_id("c")};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(seeded_groups, seeded_group)

BOOST_AUTO_TEST_CASE(seeds_found_one_group_and_other_vm_joins_as_voter)
{
    start("d", seeds_abc(), false);
    run_for(seconds(1));
    for (const char* name : {"c", "b", "a"})
    {
        start(name, seeds_abc(), true);
        run_for(milliseconds(100));
    }
    run_for(seconds(10));
    BOOST_REQUIRE(leaders().size() == 1U);
    BOOST_TEST(voters() == 4U);
}

BOOST_AUTO_TEST_CASE(commands_are_refused_until_all_seeds_are_voters)
{
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    std::uint64_t number = 0;
    std::size_t refused = 0;
    while (leaders().empty() || voters() < 3)
    {
        run_for(tick_length);
        if (leaders().empty())
        {
            continue;
        }
        if (voters() >= 3)
        {
            break;
        }
        const vm_id leader = leaders().at(0);
        step(leader, propose{{{ticket(++number), "order"}}});
        BOOST_REQUIRE(!results[leader].empty());
        const request_result& result = results[leader].back();
        BOOST_TEST((result.id == ticket(number)));
        BOOST_TEST((result.state == request_state::refused));
        ++refused;
    }
    BOOST_TEST(refused > 0U);
    run_for(seconds(1));
    const vm_id leader = leaders().at(0);
    step(leader, propose{{{ticket(++number), "order"}}});
    run_for(seconds(1));
    BOOST_TEST((results[leader].back().state == request_state::done));
}

BOOST_AUTO_TEST_CASE(seeds_without_may_found_do_not_found_a_group)
{
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), false);
    }
    run_for(seconds(30));
    BOOST_TEST(leaders().empty());
}

BOOST_AUTO_TEST_CASE(group_is_not_founded_while_a_seed_is_down)
{
    start("a", seeds_abc(), true);
    start("b", seeds_abc(), true);
    run_for(seconds(20));
    BOOST_TEST(leaders().empty());
    start("c", seeds_abc(), true);
    run_for(seconds(10));
    BOOST_TEST(leaders().size() == 1U);
}

BOOST_AUTO_TEST_CASE(vm_with_stale_seeds_joins_through_contacts)
{
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    run_for(seconds(10));
    start("d", {vm_id("gone")}, false);
    run_for(seconds(5));
    BOOST_TEST(voters() == 3U);
    step(vm_id("d"), contacts_learned{seeds_abc()});
    run_for(seconds(5));
    BOOST_TEST(voters() == 4U);
}

BOOST_AUTO_TEST_CASE(new_vm_replaces_a_lost_voter)
{
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    run_for(seconds(10));
    for (int round = 0; round < 3; ++round)
    {
        const auto alive = leaders();
        BOOST_REQUIRE(alive.size() == 1U);
        down.insert(alive.front());
        run_for(seconds(10));
        start("e" + std::to_string(round), seeds_abc(), false);
        for (const auto& [vm, each] : nodes)
        {
            step(vm_id("e" + std::to_string(round)), contacts_learned{{vm}});
        }
        run_for(seconds(10));
        BOOST_REQUIRE(leaders().size() == 1U);
        BOOST_TEST(voters() == 3U);
    }
}

BOOST_AUTO_TEST_CASE(voter_that_was_down_briefly_is_not_replaced)
{
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    run_for(seconds(10));
    const vm_id restarted =
        leaders().front() == vm_id("a") ? vm_id("b") : vm_id("a");
    down.insert(restarted);
    run_for(seconds(2));
    down.erase(restarted);
    start("d", seeds_abc(), false);
    run_for(seconds(10));
    BOOST_TEST(voters() == 4U);
}

BOOST_AUTO_TEST_CASE(silent_follower_of_a_new_leader_is_not_sent_entries_again)
{
    constexpr std::size_t entry_bytes = 20000;
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    start("d", seeds_abc(), false);
    start("e", seeds_abc(), false);
    run_for(seconds(10));
    const vm_id former = leaders().at(0);
    const vm_id silent(former == vm_id("a") ? "b" : "a");
    down = {former, silent};
    run_for(seconds(10));
    // The new leader does not know up to which index the log of the silent
    // follower agrees with its own.
    BOOST_REQUIRE(leaders().size() == 1U);
    const vm_id leader = leaders().at(0);
    bytes_sent.clear();
    step(leader, propose{{{ticket(1), std::string(entry_bytes, 'x')}}});
    run_for(seconds(3));
    BOOST_TEST(bytes_sent[silent] <= 2 * entry_bytes);
    down.erase(silent);
    run_for(seconds(1));
    BOOST_TEST((nodes.at(silent).view(now).committed ==
                nodes.at(leader).view(now).committed));
}

BOOST_AUTO_TEST_SUITE_END()
