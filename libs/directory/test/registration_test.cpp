#include <limpet/directory/registration.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::directory;

namespace
{

const time_point start(seconds(100));

registration make_row(std::string id, std::uint64_t sequence)
{
    registration row;
    row.id = engine_id(std::move(id));
    row.service = "s";
    row.address = "10.0.0.1:80";
    row.sequence = sequence;
    row.born_ms = 1000;
    row.heard_at = start;
    return row;
}

server_state state_of(const registration_table& table, const char* id)
{
    return table.find(engine_id(id))->state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(registrations)

BOOST_AUTO_TEST_CASE(late_description_does_not_undo_draining)
{
    registration_table table;
    table.merge(make_row("a", 3));
    registration leaving = make_row("a", 5);
    leaving.state = server_state::draining;
    BOOST_TEST((table.merge(leaving) == merge_result::changed));
    BOOST_TEST((table.merge(make_row("a", 4)) == merge_result::stale));
    BOOST_TEST((state_of(table, "a") == server_state::draining));
}

BOOST_AUTO_TEST_CASE(delayed_copy_of_a_description_is_no_change)
{
    registration_table table;
    registration cold = make_row("a", 1);
    cold.cold_until = start + seconds(3);
    table.merge(cold);
    // Spans count from their arrival, so a copy that took long ends later.
    registration copy = cold;
    copy.cold_until = start + seconds(5);
    BOOST_TEST((table.merge(copy) == merge_result::refreshed));
    BOOST_TEST((table.find(engine_id("a"))->cold_until == cold.cold_until));
    copy.cold_until = start + seconds(2);
    BOOST_TEST((table.merge(copy) == merge_result::refreshed));
    BOOST_TEST((table.find(engine_id("a"))->cold_until == copy.cold_until));
}

BOOST_AUTO_TEST_CASE(server_that_turned_cold_again_is_a_change)
{
    registration_table table;
    table.merge(make_row("a", 1));
    registration cold = make_row("a", 2);
    cold.cold_until = start + seconds(3);
    BOOST_TEST((table.merge(cold) == merge_result::changed));
    BOOST_TEST((table.find(engine_id("a"))->cold_until == cold.cold_until));
}

BOOST_AUTO_TEST_CASE(server_that_left_stays_gone_until_a_later_start)
{
    registration_table table;
    table.merge(make_row("a", 3));
    BOOST_TEST((table.leave(engine_id("a"), start) == merge_result::changed));
    BOOST_TEST((table.merge(make_row("a", 9)) == merge_result::stale));
    registration reborn = make_row("a", 1);
    reborn.born_ms = 2000;
    BOOST_TEST((table.merge(reborn) == merge_result::changed));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
}

BOOST_AUTO_TEST_CASE(later_server_at_the_address_replaces_the_earlier)
{
    registration_table table;
    table.merge(make_row("a", 3));
    registration next = make_row("b", 1);
    next.born_ms = 2000;
    table.merge(next);
    BOOST_TEST((state_of(table, "a") == server_state::gone));
    BOOST_TEST((state_of(table, "b") == server_state::ready));
}

BOOST_AUTO_TEST_CASE(late_news_of_an_earlier_server_at_the_address_is_not_used)
{
    registration_table table;
    registration next = make_row("b", 1);
    next.born_ms = 2000;
    table.merge(next);
    table.merge(make_row("a", 3));
    BOOST_TEST((state_of(table, "a") == server_state::gone));
    BOOST_TEST((state_of(table, "b") == server_state::ready));
}

BOOST_AUTO_TEST_CASE(sign_of_life_alone_is_no_change)
{
    registration_table table;
    table.merge(make_row("a", 3));
    registration again = make_row("a", 4);
    again.heard_at = start + seconds(1);
    BOOST_TEST((table.merge(again) == merge_result::refreshed));
    int told = 0;
    const auto count = [&told](const registration&)
    {
        ++told;
    };
    const std::uint64_t newest = table.changes_after(0, count);
    BOOST_TEST(told == 1);
    BOOST_TEST(table.changes_after(newest, count) == newest);
    BOOST_TEST(told == 1);
}

BOOST_AUTO_TEST_CASE(silent_server_is_ready_again_once_heard)
{
    registration_table table;
    table.merge(make_row("a", 3));
    table.mark_silent(start + seconds(5));
    BOOST_TEST((state_of(table, "a") == server_state::silent));
    registration again = make_row("a", 4);
    again.heard_at = start + seconds(6);
    BOOST_TEST((table.merge(again) == merge_result::changed));
    BOOST_TEST((state_of(table, "a") == server_state::ready));
    registration old_news = make_row("a", 4);
    old_news.state = server_state::silent;
    old_news.heard_at = start;
    BOOST_TEST((table.merge(old_news) == merge_result::stale));
}

BOOST_AUTO_TEST_SUITE_END()
