#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace limpet::membership
{

BOOST_AUTO_TEST_SUITE(node_test)

BOOST_AUTO_TEST_CASE(fleet_started_together_agrees_on_members_and_owners)
{
    fleet all(places("abcd", 2));
    for (int i = 0; i < 20; ++i)
    {
        const auto data_centre = std::string(1, "abcd"[i % 4]);
        const auto id = "e" + std::to_string(i);
        all.keep_alive(make_engine(id, data_centre), {"a1", "b2", "d1"});
    }
    all.run(seconds(30));
    for (const auto& vm : all.up())
    {
        BOOST_TEST(all.at(vm).snapshot()->routers().size() == 8U);
        BOOST_TEST(all.at(vm).snapshot()->engines().size() == 20U);
        for (int i = 0; i < 20; ++i)
        {
            const auto id = "e" + std::to_string(i);
            const auto owner = all.owner(vm, id);
            BOOST_TEST(owner.substr(0, 1) == std::string(1, "abcd"[i % 4]));
            BOOST_TEST((all.mode(vm, id) == ownership_mode::full) ==
                       (owner == vm));
        }
        const auto load = all.at(vm).load_of(model_id("m"), all.now);
        BOOST_REQUIRE(load.has_value());
        BOOST_TEST(load->eligible == 20U);
        BOOST_TEST(to_seconds(load->age) <= 1.0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace limpet::membership
