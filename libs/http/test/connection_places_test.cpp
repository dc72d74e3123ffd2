#include "connection_places.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::http;

namespace
{

const time_point test_time(seconds(100));

/// A server with eight places.
struct eight_places
{
    std::vector<connection_activity> open;

    /// Adds connections that have been in the phase for so long and transferred
    /// bytes some time ago.
    void add(std::size_t count,
             connection_phase phase,
             duration age,
             duration without_progress = duration::zero(),
             std::size_t bytes = 0)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            connection_activity added;
            added.phase = phase;
            added.begun = test_time - age;
            added.progressed = test_time - without_progress;
            added.bytes = bytes;
            open.push_back(added);
        }
    }

    place_decision decide() const
    {
        return decide_place(open, 8, test_time);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connection_places, eight_places)

BOOST_AUTO_TEST_CASE(connection_takes_a_free_place)
{
    add(7, connection_phase::waiting, seconds(10));
    BOOST_TEST(decide().has_place);
    BOOST_TEST(!decide().yields);
}

BOOST_AUTO_TEST_CASE(connection_that_has_waited_longest_yields)
{
    add(3, connection_phase::handling, seconds(30));
    add(4, connection_phase::waiting, seconds(1));
    add(1, connection_phase::waiting, seconds(2));
    BOOST_TEST(decide().has_place);
    BOOST_TEST(decide().yields.value() == 7U);
}

BOOST_AUTO_TEST_CASE(connections_that_are_served_do_not_yield)
{
    add(6, connection_phase::handling, seconds(30), seconds(30));
    add(1, connection_phase::writing, seconds(30), seconds(1));
    add(1, connection_phase::receiving, milliseconds(100));
    BOOST_TEST(!decide().has_place);
    BOOST_TEST(!decide().yields);
}

BOOST_AUTO_TEST_CASE(request_that_has_stopped_arriving_yields)
{
    add(7, connection_phase::handling, seconds(1));
    add(1, connection_phase::receiving, milliseconds(600), milliseconds(500));
    BOOST_TEST(decide().yields.value() == 7U);
}

BOOST_AUTO_TEST_CASE(request_that_arrives_byte_by_byte_yields)
{
    constexpr std::size_t usual_rate = 100 * 1024;
    add(7, connection_phase::receiving, seconds(1), {}, usual_rate);
    add(1, connection_phase::receiving, seconds(1), milliseconds(100), 5);
    BOOST_TEST(decide().yields.value() == 7U);
    open.back().begun = test_time - milliseconds(200);
    BOOST_TEST(!decide().has_place);
}

BOOST_AUTO_TEST_CASE(answer_that_is_not_read_yields)
{
    add(7, connection_phase::handling, seconds(1));
    add(1, connection_phase::writing, seconds(5), seconds(2));
    BOOST_TEST(decide().yields.value() == 7U);
}

/// The requests of new connections are on their way.
BOOST_AUTO_TEST_CASE(new_connection_yields_after_slow_and_unread_ones)
{
    add(6, connection_phase::waiting, milliseconds(1));
    add(1, connection_phase::receiving, seconds(9), seconds(9));
    add(1, connection_phase::writing, seconds(20), seconds(8));
    BOOST_TEST(decide().yields.value() == 6U);
    open[6].is_yielding = true;
    add(1, connection_phase::waiting, milliseconds(1));
    BOOST_TEST(decide().yields.value() == 7U);
}

BOOST_AUTO_TEST_CASE(ending_connections_hold_no_place)
{
    add(7, connection_phase::handling, seconds(1));
    add(1, connection_phase::closing, seconds(1));
    add(1, connection_phase::waiting, seconds(1));
    open.back().is_yielding = true;
    BOOST_TEST(decide().has_place);
    BOOST_TEST(!decide().yields);
    BOOST_TEST(!decide().closes);
}

BOOST_AUTO_TEST_CASE(oldest_of_many_ending_connections_is_closed)
{
    add(7, connection_phase::handling, seconds(1));
    add(2, connection_phase::closing, milliseconds(100));
    add(1, connection_phase::closing, milliseconds(200));
    BOOST_TEST(decide().closes.value() == 9U);
    open.back().is_closed = true;
    BOOST_TEST(!decide().closes);
}

BOOST_AUTO_TEST_SUITE_END()
