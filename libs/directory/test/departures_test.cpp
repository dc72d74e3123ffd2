/// Departures of backend servers as entries of the log and in snapshots.

#include <limpet/directory/departures.hpp>
#include <limpet/directory/intent.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace limpet;
using namespace limpet::directory;

namespace
{

registration make_departure(std::string id,
                            std::uint64_t born_ms,
                            server_state state = server_state::gone,
                            std::uint64_t sequence = 1)
{
    registration row;
    row.id = engine_id(std::move(id));
    row.service = "s";
    row.address = "10.0.0.1:80";
    row.version = "v1";
    row.born_ms = born_ms;
    row.sequence = sequence;
    row.state = state;
    return departure_of(row);
}

struct recorded_departures_fixture
{
    departure_table table;
    std::uint64_t index = 0;

    void record(const registration& server, std::uint64_t forgotten = 0)
    {
        table.apply(++index, {{server}, forgotten});
    }

    void forget(std::uint64_t forgotten)
    {
        table.apply(++index, {{}, forgotten});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departures, recorded_departures_fixture)

BOOST_AUTO_TEST_CASE(departure_covers_the_same_start_and_earlier_ones)
{
    record(make_departure("a", 1000));
    BOOST_TEST(table.covers(make_departure("a", 1000)));
    BOOST_TEST(table.covers(make_departure("a", 900)));
    BOOST_TEST(table.covers(make_departure("a", 0)));
    BOOST_TEST(
        table.covers(make_departure("a", 1000, server_state::draining, 9)));
    BOOST_TEST(!table.covers(make_departure("a", 1001)));
    BOOST_TEST(!table.covers(make_departure("b", 1000)));
}

BOOST_AUTO_TEST_CASE(server_that_drains_has_not_left)
{
    record(make_departure("a", 1000, server_state::draining));
    BOOST_TEST(table.has_departed(engine_id("a"), 1000));
    BOOST_TEST(!table.has_departed(engine_id("a"), 1001));
    BOOST_TEST(!table.covers(make_departure("a", 1000)));
    record(make_departure("a", 1000));
    BOOST_TEST(table.covers(make_departure("a", 1000)));
}

/// Guards against a server that drains, is ready again, and drains once more:
/// the first departure does not outrank what it reported in between.
BOOST_AUTO_TEST_CASE(later_word_that_a_server_drains_is_not_covered)
{
    record(make_departure("a", 1000, server_state::draining, 5));
    BOOST_TEST(
        table.covers(make_departure("a", 1000, server_state::draining, 4)));
    BOOST_TEST(
        table.covers(make_departure("a", 1000, server_state::draining, 5)));
    BOOST_TEST(
        !table.covers(make_departure("a", 1000, server_state::draining, 12)));
}

BOOST_AUTO_TEST_CASE(departure_of_an_earlier_start_replaces_none)
{
    record(make_departure("a", 2000));
    record(make_departure("a", 1000));
    BOOST_TEST(table.covers(make_departure("a", 2000)));
    BOOST_TEST(table.size() == 1U);
    BOOST_TEST(table.last_index() == 1U);
}

BOOST_AUTO_TEST_CASE(forgotten_departures_take_no_room)
{
    record(make_departure("a", 1000));
    record(make_departure("b", 1000));
    record(make_departure("c", 1000), 1);
    BOOST_TEST(!table.covers(make_departure("a", 1000)));
    BOOST_TEST(table.covers(make_departure("b", 1000)));
    forget(3);
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.first_index() == 0U);
    BOOST_TEST(table.last_index() == 0U);
}

BOOST_AUTO_TEST_CASE(repeated_departure_is_remembered_from_its_repetition_on)
{
    record(make_departure("a", 1000));
    record(make_departure("a", 1000));
    forget(1);
    BOOST_TEST(table.covers(make_departure("a", 1000)));
}

BOOST_AUTO_TEST_CASE(departures_are_visited_in_the_order_of_the_log)
{
    record(make_departure("b", 1000));
    record(make_departure("a", 1000));
    record(make_departure("c", 1000));
    const auto ids_after = [this](std::uint64_t after)
    {
        std::string ids;
        table.for_each_after(after,
                             [&ids](const departure_table::entry& each)
                             {
                                 ids += each.server.id.get();
                             });
        return ids;
    };
    BOOST_TEST(ids_after(0) == "bac");
    BOOST_TEST(ids_after(1) == "ac");
    BOOST_TEST(ids_after(3).empty());
}

/// Guards against a state that grows with every server that was ever there.
BOOST_AUTO_TEST_CASE(departures_beyond_the_limit_replace_the_oldest)
{
    const std::size_t all = departure_table::max_departures + 100;
    for (std::size_t i = 0; i < all; ++i)
    {
        record(make_departure(std::to_string(i), 1000));
    }
    BOOST_TEST(table.size() == departure_table::max_departures);
    BOOST_TEST(!table.covers(make_departure("0", 1000)));
    BOOST_TEST(table.covers(make_departure(std::to_string(all - 1), 1000)));
}

BOOST_AUTO_TEST_CASE(report_keeps_its_content_when_encoded)
{
    departure_report report;
    report.servers = {make_departure("a", 1000),
                      make_departure("b", 2000, server_state::draining, 5)};
    report.forgotten_index = 77;
    const auto decoded = decode_departure_report(encode(report));
    BOOST_REQUIRE(is_ok(decoded));
    BOOST_TEST(value_of(decoded).forgotten_index == 77U);
    BOOST_REQUIRE(value_of(decoded).servers.size() == 2U);
    const registration& gone = value_of(decoded).servers[0];
    BOOST_TEST(gone.id.get() == "a");
    BOOST_TEST(gone.born_ms == 1000U);
    BOOST_TEST((gone.state == server_state::gone));
    BOOST_TEST(gone.address.empty());
    const registration& draining = value_of(decoded).servers[1];
    BOOST_TEST(draining.address == "10.0.0.1:80");
    BOOST_TEST(draining.version == "v1");
    BOOST_TEST(draining.sequence == 5U);
    BOOST_TEST((draining.state == server_state::draining));
}

BOOST_AUTO_TEST_CASE(malformed_report_is_refused)
{
    BOOST_TEST(!is_ok(decode_departure_report("")));
    BOOST_TEST(!is_ok(decode_departure_report("not a report")));
}

BOOST_AUTO_TEST_CASE(snapshot_keeps_the_departures)
{
    record(make_departure("a", 1000));
    record(make_departure("b", 2000, server_state::draining));
    intent orders;
    orders.taken_out.insert("north");
    const std::string snapshot = encode(orders, table);
    const auto restored = decode_departures(snapshot);
    BOOST_REQUIRE(is_ok(restored));
    BOOST_TEST(value_of(restored).size() == 2U);
    BOOST_TEST(value_of(restored).covers(make_departure("a", 1000)));
    BOOST_TEST(!value_of(restored).covers(make_departure("b", 2000)));
    BOOST_TEST(value_of(restored).first_index() == 1U);
    // Releases without departures read the rest.
    const auto state = decode_intent(snapshot);
    BOOST_REQUIRE(is_ok(state));
    BOOST_TEST(value_of(state).taken_out.contains("north"));
}

BOOST_AUTO_TEST_CASE(snapshot_of_a_former_release_has_no_departures)
{
    const auto restored = decode_departures(encode(intent{}));
    BOOST_REQUIRE(is_ok(restored));
    BOOST_TEST(value_of(restored).size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
