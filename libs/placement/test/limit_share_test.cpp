#include <limpet/placement/limit_share.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace limpet;
using namespace limpet::placement;

namespace
{

std::set<vm_id> make_routers(int count)
{
    std::set<vm_id> routers;
    for (int i = 0; i < count; ++i)
    {
        routers.insert(vm_id(std::to_string(i)));
    }
    return routers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit_shares)

BOOST_AUTO_TEST_CASE(shares_of_all_routers_add_up_to_the_limit)
{
    for (const int count : {1, 4, 58})
    {
        const auto routers = make_routers(count);
        for (const double rate : {0.5, 1.9, 7.0, 400.0})
        {
            double sum = 0;
            for (const vm_id& each : routers)
            {
                sum += limit_share(rate, 7, 0, each, routers);
            }
            BOOST_TEST(sum == rate, boost::test_tools::tolerance(1e-9));
        }
    }
}

BOOST_AUTO_TEST_CASE(
    no_sender_has_less_than_a_request_a_second_of_a_higher_limit)
{
    BOOST_TEST(limit_sender_count(0.5, 58) == 1U);
    BOOST_TEST(limit_sender_count(1.9, 58) == 1U);
    BOOST_TEST(limit_sender_count(7, 58) == 7U);
    BOOST_TEST(limit_sender_count(400, 58) == 58U);
    BOOST_TEST(limit_sender_count(1e30, 58) == 58U);
    BOOST_TEST(limit_sender_count(0, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(router_that_is_not_known_has_no_share)
{
    BOOST_TEST(limit_share(5, 7, 0, vm_id("new"), make_routers(3)) == 0);
}

BOOST_AUTO_TEST_CASE(servers_and_turns_have_different_senders)
{
    const auto routers = make_routers(20);
    std::set<vm_id> of_servers;
    std::set<vm_id> of_turns;
    for (const vm_id& each : routers)
    {
        for (std::uint32_t i = 0; i < 200; ++i)
        {
            if (limit_share(0.5, i, 0, each, routers) > 0)
            {
                of_servers.insert(each);
            }
            if (limit_share(0.5, 7, i, each, routers) > 0)
            {
                of_turns.insert(each);
            }
        }
    }
    BOOST_TEST(of_servers.size() > 15U);
    BOOST_TEST(of_turns.size() > 15U);
}

BOOST_AUTO_TEST_CASE(loss_of_a_router_moves_only_its_own_share)
{
    const auto before = make_routers(20);
    auto after = before;
    after.erase(vm_id("3"));
    for (std::uint64_t server = 0; server < 100; ++server)
    {
        const bool was_sender =
            limit_share(0.5, server, 0, vm_id("3"), before) > 0;
        for (const vm_id& each : after)
        {
            BOOST_TEST(
                (was_sender || limit_share(0.5, server, 0, each, before) ==
                                   limit_share(0.5, server, 0, each, after)));
        }
    }
}

BOOST_AUTO_TEST_CASE(turn_lasts_for_several_requests)
{
    BOOST_TEST((limit_turn_length(10) == seconds(15)));
    BOOST_TEST((limit_turn_length(0.1) == seconds(40)));
    BOOST_TEST((limit_turn_length(0) == seconds(40)));
}

BOOST_AUTO_TEST_SUITE_END()
