#include "gateway_with_servers.hpp"
#include "server_refusal.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

BOOST_FIXTURE_TEST_SUITE(server_refusals, gateway_with_servers)

BOOST_AUTO_TEST_CASE(refusal_for_lack_of_room_says_when_to_return)
{
    const http::response answer =
        make_server_refusal(codec, 503, "other requests take all memory");
    BOOST_TEST(answer.head.status == 503U);
    BOOST_TEST(answer.head.headers.find("Come-Back").has_value());
}

BOOST_AUTO_TEST_CASE(other_refusal_keeps_its_status_and_reason)
{
    const http::response answer =
        make_server_refusal(codec, 431, "the header fields are too large");
    BOOST_TEST(answer.head.status == 431U);
    BOOST_TEST(answer.body == "the header fields are too large\n");
    BOOST_TEST(!answer.head.headers.find("Come-Back"));
}

BOOST_AUTO_TEST_SUITE_END()
