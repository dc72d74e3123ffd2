/// Departures of the log at replicas that start, vote or learn.

#include "control_state.hpp"
#include "departure_intake.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace limpet;
using namespace limpet::control;

namespace
{

struct replica_with_log_fixture
{
    log_position position{true, 0};
    control_state state{1};
    std::uint64_t index = 0;
    departure_intake intake{[this]
                            {
                                return position;
                            }};

    static std::string ids(const departure_intake::departures& departed)
    {
        std::string result;
        for (const directory::registration& each : departed)
        {
            result += each.id.get();
        }
        return result;
    }

    static std::string departure(const char* id)
    {
        directory::registration row;
        row.id = engine_id(id);
        row.born_ms = 1000;
        row.state = directory::server_state::gone;
        return make_entry(directory::departure_report{{row}, 0});
    }

    static std::string forgetting(std::uint64_t until)
    {
        return make_entry(directory::departure_report{{}, until});
    }

    /// Stores the next entry, which is committed already, and applies it.
    std::string add(const std::string& entry)
    {
        position.committed = ++index;
        std::string taken = ids(intake.store(index, entry));
        state.apply(index, entry);
        return taken;
    }
};

struct started_replica_fixture : replica_with_log_fixture
{
    started_replica_fixture()
    {
        intake.start();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(departure_intakes)

/// Guards against thousands of rows of servers that left long ago, which each
/// start of a replica would send to the routers.
BOOST_FIXTURE_TEST_CASE(forgotten_departures_on_the_disk_take_no_effect,
                        replica_with_log_fixture)
{
    add(departure("a"));
    intake.restore(state.departures());
    add(departure("b"));
    add(departure("c"));
    add(forgetting(2));
    BOOST_TEST(ids(intake.start()) == "c");
}

BOOST_FIXTURE_TEST_CASE(departures_on_the_disk_take_effect_at_the_start,
                        replica_with_log_fixture)
{
    add(departure("a"));
    intake.restore(state.departures());
    // Not committed, so not applied.
    BOOST_TEST(ids(intake.store(++index, departure("b"))).empty());
    BOOST_TEST(ids(intake.start()) == "ab");
}

BOOST_FIXTURE_TEST_CASE(departure_takes_effect_when_a_voter_stores_it,
                        started_replica_fixture)
{
    BOOST_TEST(ids(intake.store(1, departure("a"))) == "a");
    BOOST_TEST(ids(intake.store(2, forgetting(1))).empty());
    BOOST_TEST(ids(intake.store(3, "another kind of entry")).empty());
}

/// Guards against the departures of months that a new replica receives with the
/// log.
BOOST_FIXTURE_TEST_CASE(learner_waits_until_it_votes, started_replica_fixture)
{
    position.is_voter = false;
    BOOST_TEST(add(departure("a")).empty());
    BOOST_TEST(add(departure("b")).empty());
    BOOST_TEST(ids(intake.apply(state.departures())).empty());
    BOOST_TEST(add(forgetting(1)).empty());
    position.is_voter = true;
    BOOST_TEST(ids(intake.apply(state.departures())) == "b");
}

/// Guards against replicas that return as learners, and would hear of
/// departures from the others' updates only.
BOOST_FIXTURE_TEST_CASE(departure_takes_effect_at_a_learner_before_its_commit,
                        started_replica_fixture)
{
    position.is_voter = false;
    add(departure("a"));
    BOOST_TEST(ids(intake.store(++index, departure("b"))) == "b");
}

/// Guards against departures that a learner stores and applies as a voter.
BOOST_FIXTURE_TEST_CASE(departure_stored_by_a_learner_is_passed_on_once_applied,
                        started_replica_fixture)
{
    add(departure("a"));
    BOOST_TEST(ids(intake.apply(state.departures())) == "a");
    BOOST_TEST(ids(intake.apply(state.departures())).empty());
    position.is_voter = false;
    const std::string entry = departure("b");
    position.committed = ++index;
    BOOST_TEST(ids(intake.store(index, entry)).empty());
    position.is_voter = true;
    BOOST_TEST(ids(intake.apply(state.departures())).empty());
    state.apply(index, entry);
    BOOST_TEST(ids(intake.apply(state.departures())) == "b");
}

/// Guards against replicas that receive a snapshot and lose what had left.
BOOST_FIXTURE_TEST_CASE(snapshot_of_the_state_hands_the_departures_over,
                        started_replica_fixture)
{
    add(departure("a"));
    control_state other(1);
    BOOST_REQUIRE(is_ok(other.restore(state.snapshot())));
    BOOST_TEST(ids(intake.apply(other.departures())) == "a");
}

BOOST_AUTO_TEST_SUITE_END()
