/// Servers that limit the requests of all routers together.

#include "fleet_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

constexpr duration limits_begin = seconds(4);
constexpr duration limits_end = seconds(24);

/// The first `count` servers name a limit from limits_begin to limits_end.
simulation_parameters fleet_with_limits(std::uint32_t routers,
                                        std::uint32_t servers,
                                        std::size_t count,
                                        double limit)
{
    simulation_parameters parameters;
    parameters.routers = routers;
    parameters.servers = servers;
    parameters.load = {{5.0 * servers, 0.5, 3ULL * servers, 10000, 0.05}};
    parameters.simulated_time = seconds(32);
    parameters.limit_of = [count, limit](std::size_t server, duration at)
    {
        return server < count && at >= limits_begin && at < limits_end
                   ? std::optional(limit)
                   : std::nullopt;
    };
    return parameters;
}

/// Returns the mean rate of the first `count` servers, in their limit.
double
used_fraction(const fleet_simulation& fleet, std::size_t count, double limit)
{
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        sum += fleet.rate_at(i, limits_begin + limit_notice, limits_end);
    }
    return sum / static_cast<double>(count) / limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limited_servers)

BOOST_DATA_TEST_CASE(limit_holds_for_all_routers_together,
                     boost::unit_test::data::make({0.5, 2.0, 10.0, 40.0}) *
                         boost::unit_test::data::make({4U, 12U, 58U}),
                     limit,
                     routers)
{
    fleet_simulation fleet(fleet_with_limits(routers, 90, 60, limit));
    fleet.run();
    BOOST_TEST(fleet.worst_limited_window() <= 1);
    BOOST_TEST(fleet.refused_fraction(limits_begin + limit_notice, limits_end) <
               0.01);
}

BOOST_AUTO_TEST_CASE(no_limited_server_is_left_idle)
{
    // All servers are limited, to a tenth of what arrives.
    fleet_simulation fleet(fleet_with_limits(58, 90, 90, 0.5));
    fleet.run();
    BOOST_TEST(fleet.worst_limited_window() <= 1);
    BOOST_TEST(used_fraction(fleet, 90, 0.5) > 0.8);
    for (std::size_t i = 0; i < 90; ++i)
    {
        BOOST_TEST(fleet.rate_at(i, limits_begin + limit_notice, limits_end) >
                   0.25);
    }
}

BOOST_AUTO_TEST_CASE(server_gets_its_usual_share_once_its_limit_has_ended)
{
    fleet_simulation fleet(fleet_with_limits(58, 90, 60, 0.5));
    fleet.run();
    double limited = 0;
    for (std::size_t i = 0; i < 60; ++i)
    {
        limited += fleet.rate_at(i, limits_end + seconds(4), seconds(32));
    }
    BOOST_TEST(limited / 60 > 2.5);
}

BOOST_AUTO_TEST_CASE(limit_holds_while_routers_are_killed)
{
    auto parameters = fleet_with_limits(58, 90, 90, 0.5);
    for (std::uint32_t i = 0; i < 20; ++i)
    {
        parameters.killed[i] = seconds(8) + milliseconds(300) * i;
    }
    fleet_simulation fleet(parameters);
    fleet.run();
    BOOST_TEST(fleet.worst_limited_window() <= 1);
    // The limits of the killed routers' servers are used by others.
    for (std::size_t i = 0; i < 90; ++i)
    {
        BOOST_TEST(fleet.rate_at(i, seconds(18), limits_end) > 0.15);
    }
}

BOOST_DATA_TEST_CASE(limit_holds_while_routers_are_cut_off,
                     boost::unit_test::data::make({0.5, 1.9, 5.0}),
                     limit)
{
    // A data centre: these routers still reach the servers.
    auto parameters = fleet_with_limits(56, 90, 90, limit);
    for (std::uint32_t i = 0; i < 56; i += 4)
    {
        parameters.cut_off[i] = seconds(8);
    }
    fleet_simulation fleet(parameters);
    fleet.run();
    BOOST_TEST(fleet.worst_limited_window() <= 1);
}

BOOST_AUTO_TEST_CASE(limit_that_falls_and_rises_holds)
{
    auto parameters = fleet_with_limits(58, 90, 60, 1);
    parameters.limit_of = [](std::size_t server, duration at)
    {
        const bool is_limited =
            server < 60 && at >= limits_begin && at < limits_end;
        const bool is_low = at >= seconds(10) && at < seconds(18);
        return is_limited ? std::optional(is_low ? 0.5 : 4.0) : std::nullopt;
    };
    fleet_simulation fleet(parameters);
    fleet.run();
    BOOST_TEST(fleet.worst_limited_window() <= 1);
    double low = 0;
    double high = 0;
    for (std::size_t i = 0; i < 60; ++i)
    {
        low += fleet.rate_at(i, seconds(13), seconds(18));
        high += fleet.rate_at(i, seconds(20), limits_end);
    }
    BOOST_TEST(high > 2 * low);
}

BOOST_AUTO_TEST_CASE(server_that_takes_nothing_is_asked_again)
{
    fleet_simulation fleet(fleet_with_limits(58, 90, 60, 0));
    fleet.run();
    BOOST_TEST(fleet.worst_limited_window() <= 1);
    double after = 0;
    for (std::size_t i = 0; i < 60; ++i)
    {
        after += fleet.rate_at(i, limits_end, seconds(32));
    }
    BOOST_TEST(after > 0);
}

BOOST_AUTO_TEST_SUITE_END()
