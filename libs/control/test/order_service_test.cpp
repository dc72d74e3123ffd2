/// Software versions that the leader records.

#include "order_service.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::control;

namespace
{

struct registered_servers_fixture
{
    directory::registration_table servers;
    directory::intent orders;

    void add(const char* id, const char* service, const char* version)
    {
        directory::registration row;
        row.id = engine_id(id);
        row.service = service;
        row.version = version;
        row.address = std::string("10.0.0.1:") + id;
        servers.merge(row);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(new_versions, registered_servers_fixture)

BOOST_AUTO_TEST_CASE(version_that_is_not_known_is_found_once)
{
    BOOST_TEST(!find_new_version(servers, orders));
    add("1", "s", "v1");
    const auto found = find_new_version(servers, orders);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->service == "s");
    BOOST_TEST(found->software_version == "v1");
    orders.apply(1, *found);
    BOOST_TEST(!find_new_version(servers, orders));
}

/// Guards against an order without a name, which would be sent to all routers:
/// of a server that only its deregistration has named, the id is known.
BOOST_AUTO_TEST_CASE(server_of_which_only_the_id_is_known_has_no_version)
{
    directory::registration departed;
    departed.id = engine_id("1");
    departed.born_ms = 1;
    departed.state = directory::server_state::gone;
    servers.merge(departed);
    BOOST_TEST(!find_new_version(servers, orders));
    add("2", "s", "v1");
    BOOST_REQUIRE(find_new_version(servers, orders).has_value());
    BOOST_TEST(find_new_version(servers, orders)->service == "s");
}

BOOST_AUTO_TEST_SUITE_END()
