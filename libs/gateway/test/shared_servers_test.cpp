/// Many routers that share servers and learn of each other's load only with a
/// delay.

#include "fleet_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

BOOST_AUTO_TEST_SUITE(shared_servers)

BOOST_AUTO_TEST_CASE(hot_prompt_overloads_no_server_of_a_large_fleet)
{
    fleet_simulation fleet{simulation_parameters{}};
    fleet.run();
    BOOST_TEST(fleet.overloaded_fraction() < max_overloaded_fraction);
}

BOOST_AUTO_TEST_CASE(hot_prompt_overloads_no_server_of_a_small_fleet)
{
    simulation_parameters parameters;
    parameters.routers = 9;
    parameters.servers = 18;
    parameters.load.front().requests_per_s = 170;
    fleet_simulation fleet{parameters};
    fleet.run();
    BOOST_TEST(fleet.overloaded_fraction() < max_overloaded_fraction);
}

BOOST_AUTO_TEST_CASE(new_hot_prompt_overloads_no_server_of_a_large_fleet)
{
    fleet_simulation fleet{simulation_parameters{}};
    fleet.run();
    BOOST_TEST(fleet.worst_overloaded_fraction() <= max_overloaded_fraction);
}

BOOST_AUTO_TEST_CASE(uneven_prompts_overload_no_server_of_a_large_fleet)
{
    simulation_parameters parameters;
    parameters.routers = 62;
    parameters.servers = 112;
    parameters.joining_servers = 22;
    parameters.slots = 16;
    parameters.first_event = milliseconds(70);
    parameters.slowdown = 0.05;
    parameters.speed_spread = 0.3;
    parameters.load = {{430, 0.025, 1450, 2000, 0, 0.65},
                       {180, 0.76, 410, 700, 0, 0.65},
                       {175, 1.2, 580, 10500, 0, 0.65}};
    parameters.simulated_time = seconds(30);
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        parameters.seed = seed;
        fleet_simulation fleet{parameters};
        fleet.run();
        BOOST_TEST(fleet.worst_overloaded_fraction() <=
                   max_overloaded_fraction);
    }
}

BOOST_AUTO_TEST_SUITE_END()
