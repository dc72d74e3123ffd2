/// \file
/// Tests of groups that any VM may join. The seed VMs found the group, other
/// VMs join it, and newly joined VMs replace lost voters.

#include <limpet/base/random.hpp>
#include <limpet/consensus/node.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace limpet;
using namespace limpet::consensus;

namespace
{

/// Time after its start from which a VM's predecessor no longer counts as lost,
/// and time in which a group that lost power serves again.
constexpr duration catch_up = seconds(4);
/// Time for which a VM runs beside the VM that it replaces as planned.
constexpr duration planned_overlap = seconds(2);
constexpr duration recovery = seconds(12);
/// Keeps the random numbers of groups with different seeds apart.
constexpr std::uint64_t seed_stride = 7919;

std::vector<vm_id> seeds_abc()
{
    return {vm_id("a"), vm_id("b"), vm_id("c")};
}

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

/// Adds what a node persists to the state that its disk returns after a
/// restart.
void write(storage::recovered_state& disk, const persist_request& request)
{
    if (request.hard)
    {
        disk.hard = *request.hard;
    }
    if (!request.entries.empty())
    {
        const log_index first = request.entries.front().index;
        std::erase_if(disk.entries,
                      [first](const storage::log_entry& each)
                      {
                          return each.index >= first;
                      });
        disk.entries.insert(
            disk.entries.end(), request.entries.begin(), request.entries.end());
    }
    if (request.snapshot)
    {
        disk.base = *request.snapshot;
        std::erase_if(disk.entries,
                      [&disk](const storage::log_entry& each)
                      {
                          return each.index <= disk.base->index;
                      });
    }
}

/// Nodes with reliable disks, on a network that drops messages from and to
/// nodes that are down.
struct seeded_group
{
    std::map<vm_id, node> nodes;
    std::map<vm_id, storage::recovered_state> disks;
    std::set<vm_id> down;
    std::deque<message> sent;
    std::map<vm_id, std::vector<request_result>> results;
    time_point now{seconds(100)};
    duration tick_length = milliseconds(50);
    std::map<vm_id, std::uint64_t> restarts;
    std::uint64_t last_ticket = 1000;
    settings options;
    /// Of the random numbers of all nodes.
    std::uint64_t seed = 0;
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
        const vm_id vm(name);
        disks[vm] = storage::recovered_state{};
        disks[vm].storage = incarnation(storage);
        start_from_disk(vm, std::move(seeds), may_found);
    }

    void
    start_from_disk(const vm_id& vm, std::vector<vm_id> seeds, bool may_found)
    {
        node_start begin;
        begin.self = vm;
        begin.group = std::move(seeds);
        begin.may_found = may_found;
        begin.accepts_any_vm = true;
        begin.state = disks[vm];
        begin.seed = std::hash<vm_id>{}(vm) + disks[vm].storage.get() +
                     restarts[vm] + seed * seed_stride;
        node made(options, std::move(begin), now);
        nodes.insert_or_assign(vm, std::move(made));
        down.erase(vm);
    }

    /// Restarts the VMs with what their disks hold, and tells each of all.
    void restart(const std::vector<vm_id>& vms)
    {
        for (const vm_id& vm : vms)
        {
            ++restarts[vm];
            start_from_disk(vm, seeds_abc(), false);
        }
        for (const vm_id& vm : vms)
        {
            step(vm, contacts_learned{vms});
        }
    }

    std::vector<vm_id> running() const
    {
        std::vector<vm_id> result;
        for (const auto& [vm, each] : nodes)
        {
            if (!down.contains(vm))
            {
                result.push_back(vm);
            }
        }
        return result;
    }

    void join(const std::string& name)
    {
        start(name, seeds_abc(), false);
        step(vm_id(name), contacts_learned{running()});
    }

    /// Loses a VM for good and starts a new one, before the loss if it is
    /// planned.
    void replace(const vm_id& former, const std::string& name, bool is_planned)
    {
        if (is_planned)
        {
            join(name);
        }
        run_for(planned_overlap);
        down.insert(former);
        if (!is_planned)
        {
            run_for(seconds(2));
            join(name);
        }
        run_for(is_planned ? catch_up - planned_overlap : catch_up);
    }

    bool propose_and_wait(const vm_id& leader, const std::string& command)
    {
        const ticket id(++last_ticket);
        step(leader, propose{{{id, command}}});
        run_for(seconds(1));
        const auto is_done = [id](const request_result& each)
        {
            return each.id == id && each.state == request_state::done;
        };
        return std::any_of(
            results[leader].begin(), results[leader].end(), is_done);
    }

    bool holds(const vm_id& vm, const std::string& command) const
    {
        const auto& entries = disks.at(vm).entries;
        return std::any_of(entries.begin(),
                           entries.end(),
                           [&command](const storage::log_entry& each)
                           {
                               return each.data == command;
                           });
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
        for (const persist_request& each : work.persists)
        {
            write(disks[vm], each);
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

/// Which VMs are replaced before a loss of power, and whose disk is lost.
struct replacements
{
    bool of_leaders = false;
    bool are_planned = false;
    std::size_t lost_disk = 0;
};

/// Loss of power of all VMs after three of four were replaced. One VM returns
/// with an empty disk.
struct seeded_group_that_lost_power : seeded_group
{
    std::string acknowledged = "acknowledged";
    random_source random{0};

    seeded_group_that_lost_power()
    {
        tick_length = milliseconds(25);
        options.heartbeat_interval = milliseconds(125);
        options.election_timeout = milliseconds(500);
        options.lost_voter_timeout = seconds(2);
    }

    void replace_three(const replacements& what)
    {
        for (const char* name : {"a", "b", "c"})
        {
            start(name, seeds_abc(), true);
        }
        start("d", seeds_abc(), false);
        run_for(seconds(10));
        for (const char* name : {"e", "f", "g"})
        {
            BOOST_REQUIRE(leaders().size() == 1U);
            const vm_id leader = leaders().front();
            const auto vms = running();
            const vm_id follower =
                vms.front() == leader ? vms.back() : vms.front();
            replace(
                what.of_leaders ? leader : follower, name, what.are_planned);
        }
    }

    void lose_power(std::size_t lost_disk)
    {
        const auto vms = running();
        disks[vms.at(lost_disk)] = storage::recovered_state{};
        disks[vms.at(lost_disk)].storage = incarnation(2);
        sent.clear();
        restart(vms);
    }

    /// Founds a group of so many VMs, of which three are seeds.
    void found(std::size_t vms)
    {
        for (const char* name : {"a", "b", "c"})
        {
            start(name, seeds_abc(), true);
        }
        for (std::size_t i = 3; i < vms; ++i)
        {
            start("d" + std::to_string(i), seeds_abc(), false);
        }
        run_for(seconds(13));
        BOOST_REQUIRE(leaders().size() == 1U);
        BOOST_REQUIRE(voters() == vms);
    }

    duration up_to(duration longest)
    {
        return duration(static_cast<duration::rep>(
            random.below(static_cast<std::uint64_t>(longest.count()))));
    }

    /// Proposes commands at the leader, if there is one, for so long.
    void run_amid_commands(duration span)
    {
        for (const time_point end = now + span; now < end;)
        {
            const auto leading = leaders();
            if (!leading.empty())
            {
                step(leading.back(), propose{{{ticket(++last_ticket), "x"}}});
            }
            run_for(std::min<duration>(milliseconds(200), end - now));
        }
        BOOST_REQUIRE(leaders().size() == 1U);
    }

    /// Returns the VM with its disk, or with an empty one.
    void bring_back(const vm_id& vm, bool has_disk)
    {
        ++restarts[vm];
        if (!has_disk)
        {
            const std::uint64_t former = disks[vm].storage.get();
            disks[vm] = storage::recovered_state{};
            disks[vm].storage = incarnation(former + 1);
        }
        start_from_disk(vm, seeds_abc(), false);
        step(vm, contacts_learned{running()});
    }

    /// Two leaders are lost for good, one loses power and one its disk, each
    /// some seconds after the group has recovered from the loss before. At the
    /// end all lose power, and as many disks as the group tolerates.
    void lose_leaders(std::size_t tolerated)
    {
        for (const char* name : {"x", "y"})
        {
            down.insert(leaders().back());
            run_for(seconds(1) + up_to(milliseconds(200)));
            join(name);
            run_amid_commands(catch_up + up_to(seconds(2)));
        }
        for (const bool has_disk : {true, false})
        {
            const vm_id leader = leaders().back();
            down.insert(leader);
            sent.clear();
            run_for(has_disk ? up_to(milliseconds(300)) : seconds(2));
            bring_back(leader, has_disk);
            run_amid_commands(catch_up + up_to(seconds(2)));
        }
        BOOST_REQUIRE(propose_and_wait(leaders().back(), acknowledged));
        const auto vms = running();
        sent.clear();
        down.insert(vms.begin(), vms.end());
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            bring_back(vms[(i + seed) % vms.size()], i >= tolerated);
        }
        run_for(recovery);
        BOOST_REQUIRE(leaders().size() == 1U);
        BOOST_TEST(holds(leaders().back(), acknowledged));
    }

    void check_recovery(const replacements& what)
    {
        replace_three(what);
        BOOST_REQUIRE(leaders().size() == 1U);
        BOOST_REQUIRE(propose_and_wait(leaders().front(), acknowledged));
        lose_power(what.lost_disk);
        run_for(recovery);
        BOOST_TEST(leaders().size() == 1U);
        for (const vm_id& vm : running())
        {
            BOOST_TEST(holds(vm, acknowledged));
        }
    }
};

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

BOOST_AUTO_TEST_CASE(voter_that_was_replaced_while_cut_off_votes_again)
{
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    run_for(seconds(10));
    const vm_id cut_off(leaders().front() == vm_id("b") ? "c" : "b");
    down.insert(cut_off);
    run_for(seconds(10));
    start("d", seeds_abc(), false);
    run_for(seconds(10));
    BOOST_TEST(voters() == 3U);
    down.erase(cut_off);
    run_for(seconds(5));
    BOOST_TEST(leaders().size() == 1U);
    BOOST_TEST(voters() == 4U);
}

BOOST_AUTO_TEST_CASE(voter_that_was_removed_while_cut_off_votes_again)
{
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    start("d", seeds_abc(), false);
    run_for(seconds(10));
    const vm_id cut_off(leaders().front() == vm_id("b") ? "c" : "b");
    down.insert(cut_off);
    run_for(seconds(10));
    BOOST_TEST(voters() == 3U);
    down.erase(cut_off);
    run_for(seconds(5));
    BOOST_TEST(leaders().size() == 1U);
    BOOST_TEST(voters() == 4U);
}

BOOST_AUTO_TEST_CASE(lost_voters_are_not_removed_below_min_voters)
{
    options.min_voters = 5;
    for (const char* name : {"a", "b", "c"})
    {
        start(name, seeds_abc(), true);
    }
    for (const char* name : {"d", "e", "f", "g"})
    {
        start(name, seeds_abc(), false);
    }
    run_for(seconds(10));
    BOOST_REQUIRE(voters() == 7U);
    for (const std::size_t left : {6U, 5U, 5U})
    {
        const vm_id leader = leaders().front();
        const auto vms = running();
        down.insert(vms.front() == leader ? vms.back() : vms.front());
        run_for(seconds(10));
        BOOST_REQUIRE(leaders().size() == 1U);
        BOOST_TEST(voters() == left);
    }
}

BOOST_AUTO_TEST_CASE(
    vm_with_a_log_does_not_count_as_empty_when_a_group_is_founded)
{
    start("a", seeds_abc(), true);
    for (const char* name : {"b", "c"})
    {
        const message join{{vm_id(name), incarnation(1)},
                           {vm_id("a"), incarnation{}},
                           term_number(1),
                           join_request{.has_log = true}};
        step(vm_id("a"), message_received{join});
    }
    run_for(seconds(10));
    BOOST_TEST(leaders().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(
    group_without_power_after_replacements_keeps_acknowledged_command)
{
    for (unsigned way = 0; way < 16; ++way)
    {
        const replacements what{(way & 1U) != 0, (way & 2U) != 0, way >> 2U};
        BOOST_TEST_CONTEXT("leaders " << what.of_leaders << ", planned "
                                      << what.are_planned << ", lost disk "
                                      << what.lost_disk)
        {
            seeded_group_that_lost_power().check_recovery(what);
        }
    }
}

// Guards against a group without a leader for good after leaders were lost one
// after the other.
BOOST_AUTO_TEST_CASE(group_whose_leaders_are_lost_in_turn_recovers)
{
    struct group_size
    {
        std::size_t vms = 0;
        std::size_t tolerated = 0;
    };
    for (const group_size each :
         {group_size{3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 2}, {8, 2}})
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            BOOST_TEST_CONTEXT(each.vms << " VMs, " << each.tolerated
                                        << " may be lost, seed " << seed)
            {
                seeded_group_that_lost_power group;
                group.seed = seed;
                group.random = random_source(seed);
                group.options.min_voters = 2 * each.tolerated + 1;
                group.found(each.vms);
                group.lose_leaders(each.tolerated);
            }
        }
    }
}
