/// Loads that a replica passes on, recorded by a fake link hub.

#include "load_feed.hpp"
#include "recording_hub.hpp"

#include <boost/asio/io_context.hpp>

using namespace limpet;
using namespace limpet::control;

namespace
{

const vm_id router_a("10.0.1.1");
const vm_id router_b("10.0.1.2");
const vm_id other_replica("10.0.0.2");

struct replica_with_two_routers
{
    boost::asio::io_context context;
    std::shared_ptr<recording_hub> hub = std::make_shared<recording_hub>();
    content_meter sent;
    load_feed feed{make_event_loop(context),
                   hub,
                   sent,
                   [this]
                   {
                       return std::vector<vm_id>{hub->self().vm, other_replica};
                   }};

    void receive(const vm_id& from,
                 bool is_router,
                 std::vector<directory::server_load_count> counts)
    {
        directory::update frame;
        frame.is_router = is_router;
        frame.loads = directory::load_update{true, false, std::move(counts)};
        feed.receive(from, frame);
    }

    /// Returns the servers of which the peer was sent a count.
    std::vector<std::uint64_t> sent_to(const vm_id& peer) const
    {
        std::vector<std::uint64_t> servers;
        for (const auto& [to, frame] : hub->sent)
        {
            for (const auto& each : frame.loads->changed)
            {
                if (to == peer)
                {
                    servers.push_back(each.server);
                }
            }
        }
        return servers;
    }
};

using servers = std::vector<std::uint64_t>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_feeds, replica_with_two_routers)

BOOST_AUTO_TEST_CASE(requests_of_a_router_reach_routers_and_replicas)
{
    receive(router_a, true, {{7, 5}});
    receive(router_b, true, {});
    feed.send_loads();
    BOOST_TEST(sent_to(router_b) == servers{7},
               boost::test_tools::per_element());
    BOOST_TEST(sent_to(other_replica) == servers{7},
               boost::test_tools::per_element());
    feed.send_loads();
    BOOST_TEST(sent_to(router_b) == servers{7},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(requests_from_a_replica_reach_routers_only)
{
    receive(router_a, true, {});
    receive(other_replica, false, {{8, 5}});
    feed.send_loads();
    BOOST_TEST(sent_to(router_a) == servers{8},
               boost::test_tools::per_element());
    BOOST_TEST(sent_to(other_replica).empty());
}

BOOST_AUTO_TEST_SUITE_END()
