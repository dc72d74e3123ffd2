/// Servers that fall over if they turn too many requests away.

#include "fleet_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

namespace data = boost::unit_test::data;

constexpr duration brittle_begins = seconds(4);
/// The platform's rule counts falls from this time after the servers first
/// said that they are brittle; their waiting room shrinks then.
constexpr duration brittle_notice = seconds(3);
constexpr duration brittle_ends = seconds(34);
constexpr std::uint32_t slots = 16;
constexpr std::uint32_t waiting_room = 8;
constexpr double duration_s = 0.8;

struct fleet_size
{
    std::uint32_t routers;
    std::uint32_t servers;
};

std::ostream& operator<<(std::ostream& out, const fleet_size& value)
{
    return out << value.routers << " routers, " << value.servers << " servers";
}

const std::vector<fleet_size> sizes = {{8, 8}, {58, 20}, {194, 40}};

/// `load` is the requests that arrive, as a multiple of what the slots can run.
simulation_parameters
brittle_fleet(const fleet_size& size, double load, double allowed)
{
    simulation_parameters parameters;
    parameters.routers = size.routers;
    parameters.servers = size.servers;
    parameters.slots = slots;
    const double rate = load * slots * size.servers /
                        (duration_s + to_seconds(parameters.first_event));
    parameters.load = {{rate, duration_s, 3ULL * size.servers, 10000, 0.05}};
    parameters.simulated_time = seconds(44);
    parameters.return_after = milliseconds(500);
    parameters.brittle_of = [allowed](duration at)
    {
        return at >= brittle_begins && at < brittle_ends
                   ? std::optional(allowed)
                   : std::nullopt;
    };
    parameters.room_of = [](duration at)
    {
        const bool is_shrunk =
            at >= brittle_begins + brittle_notice && at < brittle_ends;
        return std::optional(is_shrunk ? slots : slots + waiting_room);
    };
    return parameters;
}

double allowed_falls(const fleet_size& size)
{
    return 2 + 0.1 * size.servers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(brittle_servers)

BOOST_DATA_TEST_CASE(brittle_servers_under_twice_their_load_stand,
                     data::make(sizes) * data::make({1.0, 2.0, 8.0}),
                     size,
                     allowed)
{
    fleet_simulation fleet(brittle_fleet(size, 2, allowed));
    fleet.run();
    const duration from = brittle_begins + brittle_notice;
    BOOST_TEST(static_cast<double>(fleet.falls(from, brittle_ends)) <=
               allowed_falls(size));
    // Most of what they can run is used, by nearly all routers.
    BOOST_TEST(fleet.mean_running(from, brittle_ends) > 0.7 * slots);
    BOOST_TEST(fleet.idle_routers(from, brittle_ends) < 0.05);
    BOOST_TEST(fleet.mean_running(brittle_ends + seconds(8), seconds(44)) >
               0.9 * slots);
}

BOOST_DATA_TEST_CASE(brittle_servers_with_room_serve_all,
                     data::make(sizes),
                     size)
{
    fleet_simulation fleet(brittle_fleet(size, 0.4, 2));
    fleet.run();
    BOOST_TEST(fleet.falls(brittle_begins, brittle_ends) == 0U);
    BOOST_TEST(fleet.refused_fraction(brittle_begins, brittle_ends) < 0.03);
}

BOOST_DATA_TEST_CASE(brittle_servers_stand_when_the_load_doubles,
                     data::make(sizes),
                     size)
{
    auto parameters = brittle_fleet(size, 0.7, 2);
    parameters.load.push_back(parameters.load.front());
    parameters.load.back().begins = seconds(15);
    fleet_simulation fleet(parameters);
    fleet.run();
    BOOST_TEST(static_cast<double>(fleet.falls(brittle_begins + brittle_notice,
                                               brittle_ends)) <=
               allowed_falls(size));
}

BOOST_DATA_TEST_CASE(brittle_servers_with_less_room_than_slots_stand,
                     data::make(sizes),
                     size)
{
    auto parameters = brittle_fleet(size, 0.5, 2);
    parameters.room_of = [](duration)
    {
        return std::optional(slots / 4);
    };
    fleet_simulation fleet(parameters);
    fleet.run();
    BOOST_TEST(static_cast<double>(fleet.falls(brittle_begins + brittle_notice,
                                               brittle_ends)) <=
               allowed_falls(size));
}

BOOST_AUTO_TEST_CASE(one_router_sends_few_to_a_brittle_server_that_refuses)
{
    server_pool pool(data_centre_id("z"));
    server_query query;
    query.service = "s";
    directory::registration row;
    row.id = engine_id("a");
    row.service = "s";
    row.address = "10.0.0.1:80";
    row.slots = 16;
    pool.apply(row, start);
    pool.on_begin(row.id, query, start);
    pool.on_brittle(row.id, 2, start);
    pool.on_refused(row.id, std::nullopt, start);
    pool.on_end(row.id, attempt_outcome::refused, start);
    // Another start of the service, of which nothing is known yet.
    row.id = engine_id("b");
    row.address = "10.0.0.1:81";
    pool.apply(row, start);
    std::map<engine_id, std::deque<time_point>> sent;
    for (duration at{}; at < seconds(8); at += milliseconds(20))
    {
        const time_point now = start + at;
        const auto choice = pool.choose(query, now);
        if (const auto* chosen = std::get_if<chosen_server>(&choice))
        {
            auto& times = sent[chosen->id];
            times.push_back(now);
            while (times.front() <= now - fall_window)
            {
                times.pop_front();
            }
            BOOST_TEST(times.size() <= 2U);
            pool.on_begin(chosen->id, query, now);
            pool.on_brittle(chosen->id, 2, now);
            pool.on_refused(chosen->id, std::nullopt, now);
            pool.on_end(chosen->id, attempt_outcome::refused, now);
        }
        else if (!sent.empty())
        {
            // Refused at once, with a time to return.
            const auto failure = std::get<selection_failure>(choice);
            BOOST_TEST((failure == selection_failure::limited ||
                        failure == selection_failure::closed));
            BOOST_TEST(pool.forecast_limits(query, now).mean_rate >= 0);
        }
    }
    BOOST_TEST(sent.size() == 2U);
    // It is over some time after the last answer that says so.
    BOOST_TEST(pool.is_brittle(row.id, start + seconds(9)));
    BOOST_TEST(!pool.is_brittle(row.id, start + seconds(30)));
}

BOOST_AUTO_TEST_CASE(request_that_has_ended_is_replaced_at_a_brittle_server)
{
    server_pool pool(data_centre_id("z"));
    server_query query;
    query.service = "s";
    directory::registration row;
    row.id = engine_id("a");
    row.service = "s";
    row.address = "10.0.0.1:80";
    row.slots = 16;
    pool.apply(row, start);
    pool.on_begin(row.id, query, start);
    pool.on_begin(row.id, query, start);
    pool.on_brittle(row.id, 1, start);
    const auto failure = pool.choose(query, start);
    // One of its requests will end.
    BOOST_TEST(
        (std::get<selection_failure>(failure) == selection_failure::no_room));
    const time_point ended = start + milliseconds(10);
    pool.on_end(row.id, attempt_outcome::answered, ended);
    BOOST_TEST(
        std::holds_alternative<chosen_server>(pool.choose(query, ended)));
    pool.on_begin(row.id, query, ended);
    BOOST_TEST(
        std::holds_alternative<selection_failure>(pool.choose(query, ended)));
    // Not while requests wait at the server.
    pool.on_load(row.id, {16, 1, 16}, ended);
    pool.on_end(row.id, attempt_outcome::answered, ended);
    BOOST_TEST(
        std::holds_alternative<selection_failure>(pool.choose(query, ended)));
}

BOOST_AUTO_TEST_SUITE_END()
