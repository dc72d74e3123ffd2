#include <limpet/directory/registration.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace limpet;
using namespace limpet::directory;

namespace
{

const time_point start_time(seconds(100));

registration make_registration(std::string id, std::uint64_t sequence)
{
    registration row;
    row.id = engine_id(std::move(id));
    row.service = "s";
    row.address = "10.0.0.1:80";
    row.sequence = sequence;
    row.born_ms = 1000;
    row.heard_at = start_time;
    return row;
}

server_state state_of(const registration_table& table, const char* id)
{
    return table.find(engine_id(id))->state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(registrations)

BOOST_AUTO_TEST_CASE(late_registration_does_not_undo_draining)
{
    registration_table table;
    table.merge(make_registration("a", 3));
    registration leaving = make_registration("a", 5);
    leaving.state = server_state::draining;
    BOOST_TEST((table.merge(leaving) == merge_result::changed));
    BOOST_TEST((table.merge(make_registration("a", 4)) == merge_result::stale));
    BOOST_TEST((state_of(table, "a") == server_state::draining));
}

BOOST_AUTO_TEST_CASE(delayed_copy_of_a_registration_is_no_change)
{
    registration_table table;
    registration cold = make_registration("a", 1);
    cold.cold_until = start_time + seconds(3);
    table.merge(cold);
    // The remaining cold time counts from the arrival of the registration, so
    // a delayed copy has a later end of the cold period.
    registration copy = cold;
    copy.cold_until = start_time + seconds(5);
    BOOST_TEST((table.merge(copy) == merge_result::refreshed));
    BOOST_TEST((table.find(engine_id("a"))->cold_until == cold.cold_until));
    copy.cold_until = start_time + seconds(2);
    BOOST_TEST((table.merge(copy) == merge_result::refreshed));
    BOOST_TEST((table.find(engine_id("a"))->cold_until == copy.cold_until));
}

BOOST_AUTO_TEST_CASE(server_that_turned_cold_again_is_a_change)
{
    registration_table table;
    table.merge(make_registration("a", 1));
    registration cold = make_registration("a", 2);
    cold.cold_until = start_time + seconds(3);
    BOOST_TEST((table.merge(cold) == merge_result::changed));
    BOOST_TEST((table.find(engine_id("a"))->cold_until == cold.cold_until));
}

BOOST_AUTO_TEST_CASE(server_that_left_stays_gone_until_a_later_start)
{
    registration_table table;
    table.merge(make_registration("a", 3));
    BOOST_TEST(
        (table.leave(engine_id("a"), start_time) == merge_result::changed));
    BOOST_TEST((table.merge(make_registration("a", 9)) == merge_result::stale));
    registration restarted = make_registration("a", 1);
    restarted.born_ms = 2000;
    BOOST_TEST((table.merge(restarted) == merge_result::changed));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
}

/// Departures in the log tell who has left, not where the server was.
BOOST_AUTO_TEST_CASE(departure_without_an_address_leaves_the_other_fields)
{
    registration departure;
    departure.id = engine_id("a");
    departure.born_ms = 1000;
    departure.state = server_state::gone;
    departure.heard_at = start_time;
    registration_table table;
    table.merge(make_registration("a", 3));
    BOOST_TEST((table.merge(departure) == merge_result::changed));
    BOOST_TEST((state_of(table, "a") == server_state::gone));
    BOOST_TEST(table.find(departure.id)->address == "10.0.0.1:80");
    BOOST_TEST((table.merge(departure) == merge_result::refreshed));
    BOOST_TEST((table.merge(make_registration("a", 9)) == merge_result::stale));
}

BOOST_AUTO_TEST_CASE(departure_of_an_unknown_server_bars_its_late_heartbeats)
{
    registration departure;
    departure.id = engine_id("a");
    departure.born_ms = 1000;
    departure.state = server_state::gone;
    departure.heard_at = start_time;
    registration_table table;
    BOOST_TEST((table.merge(departure) == merge_result::changed));
    BOOST_TEST((table.merge(make_registration("a", 9)) == merge_result::stale));
    registration restarted = make_registration("a", 1);
    restarted.born_ms = 1001;
    BOOST_TEST((table.merge(restarted) == merge_result::changed));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
}

/// Guards against a repeated deregistration that arrives after its server has
/// started again: it does not tell which start sent it.
BOOST_AUTO_TEST_CASE(deregistration_shortly_after_a_later_start_is_ambiguous)
{
    constexpr duration late = registration_table::late_message_time;
    registration_table table;
    table.merge(make_registration("a", 3));
    registration restarted = make_registration("a", 1);
    restarted.born_ms = 2000;
    table.merge(restarted);
    BOOST_TEST((table.leave(restarted.id, start_time + late / 2) ==
                merge_result::ambiguous));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
    BOOST_TEST((table.leave(restarted.id, start_time + late) ==
                merge_result::changed));
    BOOST_TEST((state_of(table, "a") == server_state::gone));
}

BOOST_AUTO_TEST_CASE(later_server_at_the_address_replaces_the_earlier)
{
    registration_table table;
    table.merge(make_registration("a", 3));
    registration next = make_registration("b", 1);
    next.born_ms = 2000;
    table.merge(next);
    BOOST_TEST((state_of(table, "a") == server_state::gone));
    BOOST_TEST((state_of(table, "b") == server_state::ready));
}

BOOST_AUTO_TEST_CASE(
    late_registration_of_an_earlier_server_at_the_address_is_ignored)
{
    registration_table table;
    registration next = make_registration("b", 1);
    next.born_ms = 2000;
    table.merge(next);
    table.merge(make_registration("a", 3));
    BOOST_TEST((state_of(table, "a") == server_state::gone));
    BOOST_TEST((state_of(table, "b") == server_state::ready));
}

BOOST_AUTO_TEST_CASE(heartbeat_alone_is_no_change)
{
    registration_table table;
    table.merge(make_registration("a", 3));
    registration again = make_registration("a", 4);
    again.heard_at = start_time + seconds(1);
    BOOST_TEST((table.merge(again) == merge_result::refreshed));
    int visited = 0;
    const auto count = [&visited](const registration&, std::uint64_t)
    {
        ++visited;
    };
    const std::uint64_t newest = table.changes_after(0, count);
    BOOST_TEST(visited == 1);
    BOOST_TEST(table.changes_after(newest, count) == newest);
    BOOST_TEST(visited == 1);
}

BOOST_AUTO_TEST_CASE(changes_are_visited_in_their_order_and_in_parts)
{
    registration_table table;
    for (const char* id : {"a", "b", "c"})
    {
        registration each = make_registration(id, 3);
        each.address = std::string("10.0.0.1:") + id;
        table.merge(each);
    }
    table.leave(engine_id("a"), start_time);
    std::vector<std::string> visited;
    const auto record = [&visited](const registration& each, std::uint64_t)
    {
        visited.push_back(each.id.get());
    };
    const std::uint64_t part =
        table.changes_after(0, record, registration_table::no_limit, 2);
    BOOST_TEST(visited == (std::vector<std::string>{"b", "c"}),
               boost::test_tools::per_element());
    table.changes_after(part, record);
    BOOST_TEST(visited == (std::vector<std::string>{"b", "c", "a"}),
               boost::test_tools::per_element());
    BOOST_TEST(table.rows_examined() == 3U);
}

BOOST_AUTO_TEST_CASE(full_table_takes_no_more_servers_until_some_are_forgotten)
{
    registration_table table;
    for (std::size_t i = 0; i < registration_table::max_servers; ++i)
    {
        registration each = make_registration(std::to_string(i), 1);
        each.address = "10.0.0.1:" + std::to_string(i);
        table.merge(each);
    }
    registration late = make_registration("late", 1);
    late.heard_at = start_time + seconds(9);
    BOOST_TEST((table.merge(late) == merge_result::full));
    BOOST_TEST((table.merge(make_registration("7", 2)) != merge_result::full));
    BOOST_TEST(table.size() == registration_table::max_servers);
    table.forget_silent(start_time + seconds(5));
    BOOST_TEST((table.merge(late) == merge_result::changed));
}

BOOST_AUTO_TEST_CASE(heartbeat_ends_the_silence_of_a_known_server)
{
    registration server = make_registration("a", 3);
    registration_table table;
    table.merge(server);
    server.sequence = 4;
    server.heard_at = start_time + seconds(6);
    BOOST_TEST(!table.record_heartbeat(heartbeat_of(server)));
    table.mark_silent(start_time + seconds(5));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
    table.mark_silent(start_time + seconds(7));
    BOOST_TEST((state_of(table, "a") == server_state::silent));
    // A heartbeat from before the silence, on a slow way.
    BOOST_TEST(!table.record_heartbeat(heartbeat_of(server)));
    server.heard_at = start_time + seconds(8);
    BOOST_TEST(table.record_heartbeat(heartbeat_of(server)));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
    BOOST_TEST(table.find(server.id)->sequence == 4U);
}

BOOST_AUTO_TEST_CASE(heartbeat_of_another_start_or_of_a_gone_server_is_ignored)
{
    registration server = make_registration("a", 3);
    registration_table table;
    table.merge(server);
    registration restarted = server;
    restarted.born_ms = server.born_ms + 1;
    restarted.heard_at = start_time + seconds(9);
    BOOST_TEST(!table.record_heartbeat(heartbeat_of(restarted)));
    BOOST_TEST((table.find(server.id)->heard_at == server.heard_at));
    table.leave(server.id, start_time + seconds(1));
    server.heard_at = start_time + seconds(9);
    BOOST_TEST(!table.record_heartbeat(heartbeat_of(server)));
    BOOST_TEST((state_of(table, "a") == server_state::gone));
}

BOOST_AUTO_TEST_CASE(digests_depend_on_the_content_and_not_on_its_order)
{
    registration a = make_registration("a", 3);
    registration b = make_registration("b", 3);
    b.address = "10.0.0.2:80";
    registration_table first;
    first.merge(a);
    first.merge(b);
    registration_table second;
    second.merge(b);
    second.merge(a);
    BOOST_TEST(first.digests() == second.digests(),
               boost::test_tools::per_element());
    a.sequence = 9;
    second.merge(a);
    BOOST_TEST(first.digests() == second.digests(),
               boost::test_tools::per_element());
    a.state = server_state::draining;
    a.sequence = 10;
    second.merge(a);
    BOOST_TEST((first.digests() != second.digests()));
    first.leave(a.id, start_time);
    second.leave(a.id, start_time);
    BOOST_TEST(first.digests() == second.digests(),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(silent_server_is_ready_again_after_a_heartbeat)
{
    registration_table table;
    table.merge(make_registration("a", 3));
    table.mark_silent(start_time + seconds(5));
    BOOST_TEST((state_of(table, "a") == server_state::silent));
    registration again = make_registration("a", 4);
    again.heard_at = start_time + seconds(6);
    BOOST_TEST((table.merge(again) == merge_result::changed));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
    registration old_heartbeat = make_registration("a", 4);
    old_heartbeat.state = server_state::silent;
    old_heartbeat.heard_at = start_time;
    BOOST_TEST((table.merge(old_heartbeat) == merge_result::stale));
}

BOOST_AUTO_TEST_SUITE_END()
