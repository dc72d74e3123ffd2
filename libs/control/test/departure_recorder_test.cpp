/// Departures on their way to the log, with a group that the test plays.

#include "control_state.hpp"
#include "departure_recorder.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace limpet;
using namespace limpet::control;

namespace
{

/// A replica that follows the leader "leader" of term 1.
struct following_replica_fixture
{
    time_point now{seconds(100)};
    std::uint64_t unix_time_ms = 500'000;
    std::multimap<time_point, std::function<void()>> calls;
    known_leader leader{vm_id("leader"), replica::term_number(1), false};
    control_state state{1};
    directory::registration_table servers;
    std::vector<std::pair<vm_id, wire::call_message>> sent;
    std::vector<std::pair<std::string, replica::proposal_callback>> proposed;
    std::uint64_t index = 0;
    std::vector<status> results;
    departure_recorder recorder{make_loop(), make_callbacks()};

    event_loop make_loop()
    {
        event_loop loop;
        loop.now = [this]
        {
            return now;
        };
        loop.call_after = [this](duration delay, std::function<void()> call)
        {
            calls.emplace(now + delay, std::move(call));
        };
        return loop;
    }

    recorder_callbacks make_callbacks()
    {
        recorder_callbacks callbacks;
        callbacks.leader = [this]
        {
            return leader;
        };
        callbacks.propose =
            [this](std::string entry, replica::proposal_callback done)
        {
            proposed.emplace_back(std::move(entry), std::move(done));
        };
        callbacks.send =
            [this](const vm_id& to, const wire::call_message& message)
        {
            sent.emplace_back(to, message);
            return success();
        };
        callbacks.recorded = [this]() -> const directory::departure_table&
        {
            return state.departures();
        };
        callbacks.servers = [this]() -> const directory::registration_table&
        {
            return servers;
        };
        callbacks.unix_ms = [this]
        {
            return unix_time_ms;
        };
        return callbacks;
    }

    void run_for(duration span)
    {
        const time_point end = now + span;
        while (!calls.empty() && calls.begin()->first <= end)
        {
            const auto next = calls.extract(calls.begin());
            now = next.key();
            next.mapped()();
        }
        now = end;
    }

    static directory::registration departure(std::string id,
                                             std::uint64_t born_ms = 1000)
    {
        directory::registration row;
        row.id = engine_id(std::move(id));
        row.born_ms = born_ms;
        row.state = directory::server_state::gone;
        return row;
    }

    directory::registration live(std::string id, std::uint64_t born_ms) const
    {
        directory::registration row = departure(std::move(id), born_ms);
        row.state = directory::server_state::ready;
        row.address = "10.0.0.1:80";
        row.heard_at = now;
        return row;
    }

    void record(const directory::registration& each)
    {
        recorder.record(each,
                        [this](status done)
                        {
                            results.push_back(std::move(done));
                        });
    }

    const wire::call& sent_call(std::size_t number) const
    {
        return std::get<wire::call>(sent.at(number).second);
    }

    std::size_t servers_in_call(std::size_t number) const
    {
        const auto report =
            directory::decode_departure_report(sent_call(number).payload);
        BOOST_REQUIRE(is_ok(report));
        return value_of(report).servers.size();
    }

    void reply(std::size_t number, outcome<std::string> result)
    {
        wire::reply answer;
        answer.id = sent_call(number).id;
        answer.result = std::move(result);
        recorder.receive(answer);
    }

    /// Replies that all are recorded but the refused.
    void confirm(std::size_t number,
                 std::vector<directory::registration> refused = {})
    {
        reply(number,
              encode(directory::departure_report{std::move(refused), 0}));
    }

    /// Commits the proposal as the group does.
    void commit(std::size_t number)
    {
        state.apply(++index, proposed.at(number).first);
        proposed.at(number).second(
            replica::proposal_result{replica::log_index(index), ""});
    }

    error_code code_of(std::size_t result) const
    {
        return error_of(results.at(result)).code;
    }
};

struct leading_replica_fixture : following_replica_fixture
{
    leading_replica_fixture()
    {
        leader.vm = vm_id("self");
        leader.is_self = true;
    }

    void receive(const directory::departure_report& report)
    {
        recorder.receive(
            vm_id("follower"),
            wire::call{7, wire::call_kind::record_departures, encode(report)});
    }

    const wire::reply& sent_reply(std::size_t number) const
    {
        return std::get<wire::reply>(sent.at(number).second);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(departure_recorders)

/// Guards against acknowledgements of departures that one replica knows.
BOOST_FIXTURE_TEST_CASE(departure_is_acknowledged_once_the_leader_says_so,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(100));
    BOOST_TEST(results.empty());
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].first.get() == "leader");
    confirm(0);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(is_ok(results[0]));
    BOOST_TEST(recorder.counts().recorded == 1U);
}

BOOST_FIXTURE_TEST_CASE(departure_that_is_recorded_is_acknowledged_at_once,
                        following_replica_fixture)
{
    state.apply(1, make_entry({{departure("a")}, 0}));
    record(departure("a"));
    BOOST_TEST(results.size() == 1U);
    run_for(seconds(1));
    BOOST_TEST(sent.empty());
}

/// Guards against an acknowledgement to a server that left, started again and
/// leaves once more, by a replica that knows its former departure only.
BOOST_FIXTURE_TEST_CASE(departure_of_a_server_that_was_gone_before_is_asked_for,
                        following_replica_fixture)
{
    state.apply(1, make_entry({{departure("a")}, 0}));
    record(departure("a", 0));
    run_for(milliseconds(50));
    BOOST_TEST(results.empty());
    BOOST_TEST(sent.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(departure_without_a_reply_is_refused_within_a_second,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(800));
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((code_of(0) == error_code::unavailable));
    BOOST_TEST(recorder.counts().failed == 1U);
    // The leader is probably no better now.
    record(departure("b"));
    BOOST_TEST(results.size() == 2U);
    // It is tried again later.
    run_for(seconds(1));
    record(departure("c"));
    BOOST_TEST(results.size() == 2U);
    run_for(milliseconds(100));
    BOOST_TEST(sent.size() == 2U);
    confirm(1);
    BOOST_TEST(is_ok(results.at(2)));
}

BOOST_FIXTURE_TEST_CASE(late_reply_shows_that_the_leader_is_back,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(800));
    confirm(0);
    record(departure("b"));
    BOOST_TEST(results.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(departure_waits_for_an_election,
                        following_replica_fixture)
{
    leader.vm = vm_id();
    record(departure("a"));
    run_for(milliseconds(400));
    BOOST_TEST(results.empty());
    leader = {vm_id("next"), replica::term_number(2), false};
    run_for(milliseconds(50));
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].first.get() == "next");
}

BOOST_FIXTURE_TEST_CASE(departure_is_refused_at_once_without_a_leader_for_long,
                        following_replica_fixture)
{
    recorder.update();
    leader.vm = vm_id();
    run_for(seconds(3));
    record(departure("a"));
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((code_of(0) == error_code::unavailable));
}

BOOST_FIXTURE_TEST_CASE(departures_go_to_the_next_leader,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(100));
    leader = {vm_id("next"), replica::term_number(2), false};
    run_for(milliseconds(50));
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[1].first.get() == "next");
    // The former leader's reply is about another call, and no answer to this
    // one.
    confirm(0);
    BOOST_TEST(results.empty());
    confirm(1);
    BOOST_TEST(results.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(departures_are_sent_again_when_the_link_is_lost,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(100));
    recorder.on_lost(vm_id("other"));
    run_for(milliseconds(100));
    BOOST_TEST(sent.size() == 1U);
    recorder.on_lost(vm_id("leader"));
    run_for(milliseconds(100));
    BOOST_TEST(sent.size() == 2U);
}

/// Guards against an acknowledgement by the leader's late reply to a process
/// that has ended.
BOOST_FIXTURE_TEST_CASE(reply_to_a_call_of_an_earlier_start_is_ignored,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(50));
    recorder.stop();
    ++unix_time_ms;
    departure_recorder next(make_loop(), make_callbacks());
    std::vector<status> next_results;
    next.record(departure("b"),
                [&next_results](status done)
                {
                    next_results.push_back(std::move(done));
                });
    run_for(milliseconds(50));
    wire::reply late;
    late.id = sent_call(0).id;
    late.result = encode(directory::departure_report{});
    next.receive(late);
    BOOST_TEST(next_results.empty());
    late.id = sent_call(1).id;
    next.receive(late);
    BOOST_TEST(next_results.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(refusal_of_a_deposed_leader_is_not_final,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(50));
    reply(0, error{error_code::not_leader, "deposed"});
    BOOST_TEST(results.empty());
    run_for(milliseconds(50));
    BOOST_REQUIRE(sent.size() == 2U);
    confirm(1);
    BOOST_TEST(is_ok(results.at(0)));
}

/// Guards against a write and a round for each of many departures.
BOOST_FIXTURE_TEST_CASE(departures_of_a_flood_share_calls,
                        following_replica_fixture)
{
    for (int i = 0; i < 300; ++i)
    {
        record(departure(std::to_string(i)));
    }
    for (std::size_t number = 0; results.size() < 300; ++number)
    {
        run_for(milliseconds(25));
        BOOST_REQUIRE(sent.size() == number + 1);
        confirm(number);
    }
    BOOST_TEST(sent.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(one_call_at_a_time_is_on_its_way,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(50));
    record(departure("b"));
    record(departure("c"));
    run_for(milliseconds(50));
    BOOST_TEST(sent.size() == 1U);
    confirm(0);
    run_for(milliseconds(50));
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(servers_in_call(1) == 2U);
}

BOOST_FIXTURE_TEST_CASE(refused_departure_does_not_hold_up_the_others,
                        following_replica_fixture)
{
    record(departure("a"));
    record(departure("b", 0));
    record(departure("c"));
    run_for(milliseconds(50));
    BOOST_TEST(servers_in_call(0) == 3U);
    confirm(0, {departure("b", 0)});
    BOOST_REQUIRE(results.size() == 3U);
    BOOST_TEST(is_ok(results[0]));
    BOOST_TEST(is_ok(results[1]));
    BOOST_TEST((code_of(2) == error_code::conflict));
}

BOOST_FIXTURE_TEST_CASE(reply_that_cannot_be_read_acknowledges_nothing,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(50));
    reply(0, std::string("not a list"));
    BOOST_TEST(results.empty());
}

BOOST_FIXTURE_TEST_CASE(replica_that_stops_refuses_what_waits,
                        following_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(50));
    record(departure("b"));
    recorder.stop();
    BOOST_TEST(results.size() == 2U);
    record(departure("c"));
    BOOST_REQUIRE(results.size() == 3U);
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        BOOST_TEST((code_of(i) == error_code::unavailable));
    }
}

BOOST_FIXTURE_TEST_CASE(leader_acknowledges_once_the_entry_is_committed,
                        leading_replica_fixture)
{
    record(departure("a"));
    receive({{departure("b")}, 0});
    run_for(milliseconds(50));
    BOOST_REQUIRE(proposed.size() == 2U);
    BOOST_TEST(results.empty());
    BOOST_TEST(sent.empty());
    commit(0);
    BOOST_TEST(is_ok(sent_reply(0).result));
    commit(1);
    BOOST_TEST(is_ok(results.at(0)));
    BOOST_TEST(state.departures().covers(departure("a")));
    BOOST_TEST(state.departures().covers(departure("b")));
}

BOOST_FIXTURE_TEST_CASE(leader_passes_on_that_the_outcome_is_unknown,
                        leading_replica_fixture)
{
    receive({{departure("a")}, 0});
    proposed.at(0).second(error{error_code::unavailable, "lost the lead"});
    BOOST_TEST(
        (error_of(sent_reply(0).result).code == error_code::unavailable));
}

BOOST_FIXTURE_TEST_CASE(leader_replies_to_a_malformed_call_with_an_error,
                        leading_replica_fixture)
{
    recorder.receive(vm_id("follower"),
                     wire::call{7, wire::call_kind::record_departures, "x"});
    BOOST_TEST(!is_ok(sent_reply(0).result));
    BOOST_TEST(proposed.empty());
}

BOOST_FIXTURE_TEST_CASE(leader_knows_the_start_of_a_server_unknown_elsewhere,
                        leading_replica_fixture)
{
    servers.merge(live("a", 3000));
    receive({{departure("a", 0)}, 0});
    commit(0);
    BOOST_TEST(state.departures().covers(departure("a", 3000)));
    BOOST_TEST(!state.departures().covers(departure("a", 3001)));
}

BOOST_FIXTURE_TEST_CASE(server_that_nobody_knows_has_left_with_all_its_starts,
                        leading_replica_fixture)
{
    receive({{departure("a", 0)}, 0});
    commit(0);
    BOOST_TEST(state.departures().covers(departure("a", unix_time_ms)));
    BOOST_TEST(!state.departures().covers(departure("a", unix_time_ms + 1)));
}

BOOST_FIXTURE_TEST_CASE(repeated_deregistration_takes_no_further_entry,
                        leading_replica_fixture)
{
    state.apply(++index, make_entry({{departure("a")}, 0}));
    receive({{departure("a", 0)}, 0});
    BOOST_TEST(proposed.empty());
    BOOST_TEST(is_ok(sent_reply(0).result));
    servers.merge(departure("a"));
    receive({{departure("a", 0)}, 0});
    BOOST_TEST(proposed.empty());
    BOOST_TEST(is_ok(sent_reply(1).result));
}

BOOST_FIXTURE_TEST_CASE(leader_records_the_later_start_of_a_server_gone_before,
                        leading_replica_fixture)
{
    state.apply(++index, make_entry({{departure("a", 1000)}, 0}));
    servers.merge(live("a", 1000));
    servers.merge(live("a", 2000));
    run_for(directory::registration_table::late_message_time);
    receive({{departure("a", 0)}, 0});
    BOOST_REQUIRE(proposed.size() == 1U);
    commit(0);
    BOOST_TEST(state.departures().covers(departure("a", 2000)));
}

BOOST_FIXTURE_TEST_CASE(
    leader_refuses_the_departure_of_a_start_with_a_later_one,
    leading_replica_fixture)
{
    servers.merge(live("a", 2000));
    receive({{departure("a", 1000)}, 0});
    BOOST_TEST(proposed.empty());
    const auto refused =
        directory::decode_departure_report(value_of(sent_reply(0).result));
    BOOST_REQUIRE(is_ok(refused));
    BOOST_TEST(value_of(refused).servers.size() == 1U);
}

/// Guards against a late deregistration that takes a server away that has
/// started again.
BOOST_FIXTURE_TEST_CASE(leader_refuses_a_departure_shortly_after_a_later_start,
                        leading_replica_fixture)
{
    servers.merge(live("a", 1000));
    servers.merge(live("a", 2000));
    receive({{departure("a", 0)}, 0});
    BOOST_TEST(proposed.empty());
    const auto refused =
        directory::decode_departure_report(value_of(sent_reply(0).result));
    BOOST_REQUIRE(is_ok(refused));
    BOOST_REQUIRE(value_of(refused).servers.size() == 1U);
    BOOST_TEST(value_of(refused).servers[0].id.get() == "a");
}

/// Guards against a state that grows with every server that ever left.
BOOST_FIXTURE_TEST_CASE(departures_are_forgotten_after_their_retention,
                        leading_replica_fixture)
{
    record(departure("a"));
    run_for(milliseconds(50));
    commit(0);
    recorder.update();
    run_for(seconds(59));
    recorder.update();
    BOOST_TEST(proposed.size() == 1U);
    run_for(seconds(2));
    recorder.update();
    BOOST_REQUIRE(proposed.size() == 2U);
    commit(1);
    BOOST_TEST(state.departures().size() == 0U);
    run_for(seconds(60));
    recorder.update();
    BOOST_TEST(proposed.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(follower_forgets_nothing_by_itself,
                        following_replica_fixture)
{
    state.apply(1, make_entry({{departure("a")}, 0}));
    recorder.update();
    run_for(seconds(70));
    recorder.update();
    BOOST_TEST(proposed.empty());
    // It does so at once when it comes to lead.
    leader.is_self = true;
    recorder.update();
    BOOST_TEST(proposed.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
