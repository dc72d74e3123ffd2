/// Routers that exchange what they saw of crashes, without a network.

#include <limpet/quarantine/part_quarantine.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace limpet;
using namespace limpet::quarantine;

namespace
{

constexpr duration update_interval = milliseconds(50);
const part_key first_part(1);
const part_key crashing(666);

part_key subject(std::uint64_t number)
{
    return part_key(1000 + number);
}

/// Routers whose messages arrive at the next update, unless they are cut off.
struct fleet
{
    std::map<vm_id, part_quarantine> routers;
    std::set<vm_id> cut_off;
    time_point now{seconds(1000)};
    std::uint64_t servers = 0;
    std::size_t messages = 0;

    explicit fleet(std::size_t size = 4)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            start(name(i));
        }
    }

    static vm_id name(std::size_t number)
    {
        return vm_id("router-" + std::to_string(number));
    }

    part_quarantine& router(std::size_t number)
    {
        return routers.at(name(number));
    }

    /// Starts a router, or starts it again without its memory.
    void start(const vm_id& vm)
    {
        routers.insert_or_assign(vm, part_quarantine(vm));
        std::set<vm_id> names;
        for (const auto& [each, state] : routers)
        {
            names.insert(each);
        }
        for (auto& [each, state] : routers)
        {
            state.set_routers(names);
            state.on_lost(vm);
        }
    }

    void deliver(const vm_id& from, const part_quarantine::outgoing& sent)
    {
        const auto received = decode(encode(sent.content));
        BOOST_REQUIRE(is_ok(received));
        for (const vm_id& to : sent.to)
        {
            ++messages;
            if (!cut_off.contains(from) && !cut_off.contains(to))
            {
                routers.at(to).receive(from, value_of(received), now);
            }
        }
    }

    void run_for(duration span)
    {
        for (const time_point end = now + span; now < end;)
        {
            now += update_interval;
            for (auto& [vm, state] : routers)
            {
                for (const auto& sent : state.update(now))
                {
                    deliver(vm, sent);
                }
            }
        }
    }

    /// A server ends under a request of each list of parts at the router.
    server_key crash(std::size_t number,
                     const std::vector<std::vector<part_key>>& requests)
    {
        const server_key server(++servers);
        for (const auto& parts : requests)
        {
            router(number).on_cut_off({server, parts}, now);
        }
        return server;
    }

    bool admits(std::size_t number, const std::vector<part_key>& parts)
    {
        return router(number).admit(parts, now).is_admitted;
    }

    std::size_t count_admitting(const std::vector<part_key>& parts)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < routers.size(); ++i)
        {
            count += admits(i, parts) ? 1 : 0;
        }
        return count;
    }

    /// Crashes under the part at one router after the other, while requests
    /// with the first part are answered.
    void quarantine_crashing_part()
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            crash(i % routers.size(), {{first_part, crashing}});
            run_for(milliseconds(200));
            router(0).on_sound({first_part, subject(i)}, now);
        }
        run_for(seconds(1));
        BOOST_REQUIRE_EQUAL(count_admitting({first_part, crashing}), 0U);
    }

    /// Passes the time until a router admits a trial of the crashing part.
    std::size_t run_until_trial()
    {
        for (int i = 0; i < 2000; ++i)
        {
            for (std::size_t n = 0; n < routers.size(); ++n)
            {
                if (admits(n, {first_part, crashing}))
                {
                    return n;
                }
            }
            run_for(milliseconds(100));
        }
        BOOST_FAIL("no trial was admitted");
        return 0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(part_quarantines, fleet)

BOOST_AUTO_TEST_CASE(part_that_crashes_servers_is_refused_by_all_routers)
{
    quarantine_crashing_part();
    BOOST_TEST(count_admitting({first_part, subject(1)}) == routers.size());
    const admission refused = router(3).admit({crashing}, now);
    BOOST_TEST((refused.part == crashing));
    BOOST_TEST((refused.retry_after > seconds(20)));
}

BOOST_AUTO_TEST_CASE(first_part_of_prompts_that_crashes_servers_is_refused)
{
    for (std::size_t i = 0; i < 3; ++i)
    {
        crash(i, {{crashing, subject(1)}, {first_part, subject(2 + i)}});
        run_for(milliseconds(200));
        router(0).on_sound({first_part, subject(1)}, now);
    }
    run_for(seconds(1));
    BOOST_TEST(count_admitting({crashing}) == 0U);
    BOOST_TEST(count_admitting({first_part, subject(1)}) == routers.size());
}

BOOST_AUTO_TEST_CASE(part_that_another_router_serves_is_not_blamed)
{
    for (std::size_t i = 0; i < 6; ++i)
    {
        crash(1, {{subject(1)}});
        run_for(milliseconds(300));
        router(2).on_sound({subject(1)}, now);
        run_for(milliseconds(300));
    }
    run_for(seconds(2));
    BOOST_TEST(count_admitting({subject(1)}) == routers.size());
}

BOOST_AUTO_TEST_CASE(parts_that_accompany_the_crashing_part_are_not_blamed)
{
    for (std::size_t i = 0; i < 8; ++i)
    {
        crash(i % 4, {{subject(i % 2), crashing}, {subject(6 + i % 2)}});
        run_for(milliseconds(300));
    }
    run_for(seconds(2));
    BOOST_TEST(count_admitting({crashing}) == 0U);
    BOOST_TEST(count_admitting({subject(0)}) == routers.size());
    BOOST_TEST(count_admitting({subject(7)}) == routers.size());
}

BOOST_AUTO_TEST_CASE(servers_that_end_at_one_moment_count_once)
{
    for (std::size_t i = 0; i < 12; ++i)
    {
        crash(i % 4, {{subject(1)}, {subject(2)}});
    }
    run_for(seconds(2));
    BOOST_TEST(count_admitting({subject(1)}) == routers.size());
}

BOOST_AUTO_TEST_CASE(server_that_answers_another_router_has_not_crashed)
{
    for (std::size_t i = 0; i < 6; ++i)
    {
        const server_key server = crash(0, {{subject(1)}});
        run_for(milliseconds(300));
        router(3).on_answer(server, now);
        run_for(milliseconds(300));
    }
    run_for(seconds(2));
    BOOST_TEST(count_admitting({subject(1)}) == routers.size());
}

BOOST_AUTO_TEST_CASE(bytes_that_a_server_sent_before_its_end_are_no_answer)
{
    for (std::size_t i = 0; i < 3; ++i)
    {
        const server_key server = crash(0, {{crashing}});
        run_for(milliseconds(100));
        router(3).on_answer(server, now);
        run_for(milliseconds(300));
    }
    run_for(seconds(1));
    BOOST_TEST(count_admitting({crashing}) == 0U);
}

BOOST_AUTO_TEST_CASE(parts_that_are_always_together_are_refused_together)
{
    for (std::size_t i = 0; i < 5; ++i)
    {
        BOOST_TEST(count_admitting({crashing}) == routers.size());
        crash(i % 4, {{subject(1), crashing}});
        run_for(seconds(1));
    }
    BOOST_TEST(count_admitting({crashing}) == 0U);
    BOOST_TEST(count_admitting({subject(1)}) == 0U);
}

BOOST_AUTO_TEST_CASE(restarted_router_learns_which_parts_are_refused)
{
    quarantine_crashing_part();
    start(name(2));
    BOOST_TEST(admits(2, {crashing}));
    run_for(seconds(1));
    BOOST_TEST(!admits(2, {crashing}));
}

BOOST_AUTO_TEST_CASE(router_that_was_cut_off_learns_which_parts_are_refused)
{
    cut_off.insert(name(1));
    for (std::size_t i = 0; i < 3; ++i)
    {
        crash(2, {{crashing}});
        run_for(milliseconds(400));
    }
    run_for(seconds(5));
    BOOST_TEST(admits(1, {crashing}));
    cut_off.clear();
    // Three times the interval of comparisons, one for each other router.
    run_for(milliseconds(2000));
    BOOST_TEST(!admits(1, {crashing}));
}

BOOST_AUTO_TEST_CASE(part_is_tried_at_one_router_at_a_time)
{
    quarantine_crashing_part();
    const time_point begun = now;
    const std::size_t tried_at = run_until_trial();
    BOOST_TEST((now - begun > seconds(20)));
    BOOST_TEST(count_admitting({crashing}) == 0U);
    router(tried_at).on_sound({first_part, crashing}, now);
    run_for(milliseconds(200));
    BOOST_TEST(count_admitting({crashing}) == routers.size());
    run_for(seconds(10));
    BOOST_TEST(count_admitting({crashing}) == routers.size());
}

BOOST_AUTO_TEST_CASE(failed_trial_lengthens_the_quarantine)
{
    quarantine_crashing_part();
    const std::size_t tried_at = run_until_trial();
    crash(tried_at, {{first_part, crashing}});
    run_for(milliseconds(200));
    BOOST_TEST(count_admitting({crashing}) == 0U);
    const time_point begun = now;
    run_until_trial();
    BOOST_TEST((now - begun > seconds(100)));
}

BOOST_AUTO_TEST_CASE(sound_part_that_was_blamed_is_released_by_its_first_answer)
{
    quarantine_crashing_part();
    // A request that was sent before is answered.
    router(2).on_sound({crashing}, now);
    run_for(milliseconds(200));
    BOOST_TEST(count_admitting({crashing}) == routers.size());
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_for_any_number_of_crashes)
{
    for (std::size_t i = 0; i < 3000; ++i)
    {
        crash(0, {{part_key(10000 + i / 3)}});
        run_for(milliseconds(150));
    }
    BOOST_TEST(router(1).size() <= part_quarantine::max_entries);
    BOOST_TEST(router(1).size() > 0U);
}

BOOST_AUTO_TEST_CASE(idle_routers_send_nothing)
{
    run_for(seconds(5));
    BOOST_TEST(messages == 0U);
    BOOST_TEST(!router(0).next_update(now));
}

BOOST_AUTO_TEST_CASE(malformed_message_is_refused)
{
    message sent;
    sent.cut_off = {{server_key(1), {crashing, first_part}}};
    sent.entries = {{crashing, 2, 1, seconds(-3), true}};
    const std::string bytes = encode(sent);
    const auto received = decode(bytes);
    BOOST_REQUIRE(is_ok(received));
    BOOST_TEST((value_of(received).cut_off[0].parts[1] == first_part));
    BOOST_TEST((value_of(received).entries[0].remaining == seconds(-3)));
    BOOST_TEST(!is_ok(decode(std::string_view(bytes).substr(1))));
    BOOST_TEST(!is_ok(decode("")));
}

BOOST_AUTO_TEST_CASE(request_that_crashes_servers_is_refused_by_all_routers)
{
    const part_key request = make_request_key(7);
    for (std::size_t i = 0; i < 3; ++i)
    {
        crash(i, {{request}});
        run_for(milliseconds(50));
    }
    run_for(seconds(1));
    BOOST_TEST(count_admitting({request}) == 0U);
    BOOST_TEST(count_admitting({make_request_key(8)}) == routers.size());
}

BOOST_AUTO_TEST_CASE(request_is_blamed_before_the_parts_of_its_prompt)
{
    const part_key request = make_request_key(7);
    for (std::size_t i = 0; i < 3; ++i)
    {
        crash(i, {{request, first_part, subject(1)}});
        run_for(milliseconds(200));
    }
    run_for(seconds(1));
    BOOST_TEST(count_admitting({request, first_part, subject(1)}) == 0U);
    BOOST_TEST(count_admitting({make_request_key(8), first_part, subject(1)}) ==
               routers.size());
}

BOOST_AUTO_TEST_CASE(part_is_blamed_although_a_request_with_it_was_repeated)
{
    const part_key request = make_request_key(7);
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        crash(0, {{request, first_part, crashing}});
        run_for(milliseconds(200));
        crash(1, {{make_request_key(100 + i), first_part, crashing}});
        router(2).on_sound({make_request_key(200 + i), first_part}, now);
        run_for(milliseconds(200));
    }
    run_for(seconds(1));
    BOOST_TEST(count_admitting({make_request_key(8), first_part, crashing}) ==
               0U);
    BOOST_TEST(count_admitting({make_request_key(8), first_part}) ==
               routers.size());
}

BOOST_AUTO_TEST_CASE(two_requests_that_crash_the_same_servers_are_both_refused)
{
    const part_key one = make_request_key(7);
    const part_key other = make_request_key(8);
    for (std::size_t i = 0; i < 3; ++i)
    {
        crash(i, {{one}, {other}});
        run_for(milliseconds(200));
    }
    run_for(seconds(1));
    const std::size_t admitting_one = count_admitting({one});
    const std::size_t admitting_other = count_admitting({other});
    BOOST_TEST(admitting_one + admitting_other == routers.size());
    for (std::size_t i = 0; i < 3; ++i)
    {
        crash(i, {{admitting_one > 0 ? one : other}});
        run_for(milliseconds(200));
    }
    run_for(seconds(1));
    BOOST_TEST(count_admitting({one}) == 0U);
    BOOST_TEST(count_admitting({other}) == 0U);
}

BOOST_AUTO_TEST_CASE(sound_request_that_is_sent_often_is_not_blamed)
{
    const part_key request = make_request_key(7);
    for (std::size_t i = 0; i < 40; ++i)
    {
        crash(i % 4, {{request}});
        run_for(milliseconds(100));
        router((i + 1) % 4).on_sound({request}, now);
        run_for(milliseconds(100));
        BOOST_REQUIRE(count_admitting({request}) == routers.size());
    }
}

BOOST_AUTO_TEST_CASE(request_at_several_servers_that_lose_power_is_not_blamed)
{
    const part_key request = make_request_key(7);
    for (std::size_t i = 0; i < 4; ++i)
    {
        crash(i, {{request}});
        now += milliseconds(4);
    }
    run_for(seconds(2));
    BOOST_TEST(count_admitting({request}) == routers.size());
}

BOOST_AUTO_TEST_CASE(
    refused_requests_are_known_although_routers_restart_in_turn)
{
    const part_key request = make_request_key(7);
    for (std::size_t i = 0; i < 3; ++i)
    {
        crash(i, {{request}});
        run_for(milliseconds(50));
    }
    run_for(seconds(1));
    for (std::size_t i = 0; i < 8; ++i)
    {
        start(name(i % 4));
        run_for(seconds(1));
        BOOST_TEST(count_admitting({request}) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(reports_of_different_requests_are_bounded)
{
    for (std::uint64_t i = 0; i < 5000; ++i)
    {
        crash(0, {{make_request_key(i)}});
        now += milliseconds(1);
    }
    messages = 0;
    run_for(seconds(5));
    // One frame of all reports to each router, and no entry to compare.
    BOOST_TEST(messages <= 3U);
    BOOST_TEST(router(1).size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
