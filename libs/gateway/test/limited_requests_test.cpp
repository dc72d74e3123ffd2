/// Requests to servers that limit the requests of all routers together.

#include "gateway_with_servers.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

/// Servers answer at once and name the limit, unless it is empty.
struct gateway_with_limits : gateway_with_servers
{
    std::string limit;

    gateway_with_limits()
    {
        set_route(directory::request_kind::single);
    }

    void add_limiting_server()
    {
        add_server(
            [this](http::exchange& each) -> boost::asio::awaitable<void>
            {
                http::response answer;
                answer.head.headers.set(
                    "I", each.received().headers.value_or_empty("I"));
                if (!limit.empty())
                {
                    answer.head.headers.set("Limit", limit);
                }
                answer.body = "x";
                co_await each.respond(std::move(answer));
            });
    }

    double retry_after() const
    {
        return std::stod(come_back.at(0));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(limited_requests, gateway_with_limits)

BOOST_AUTO_TEST_CASE(request_that_no_server_may_take_is_refused_at_once)
{
    add_limiting_server();
    limit = "0.5";
    BOOST_TEST(run().front() == "200 x");
    const time_point begun = monotonic_clock::now();
    BOOST_TEST(run().front() == "503 limited");
    BOOST_TEST((monotonic_clock::now() - begun < milliseconds(200)));
    // The first request of this limit is due two seconds after it was named.
    BOOST_TEST(retry_after() > 1.5);
    BOOST_TEST(retry_after() <= 2.0);
    BOOST_TEST(run().front() == "503 limited");
    BOOST_TEST(retry_after() > 3.5);
    BOOST_TEST(retry_after() <= 4.0);
    BOOST_TEST(total_requests() == 1);
}

BOOST_AUTO_TEST_CASE(request_waits_for_a_limit_that_soon_allows_it)
{
    add_limiting_server();
    limit = "50";
    run();
    const time_point begun = monotonic_clock::now();
    run(5);
    BOOST_TEST((monotonic_clock::now() - begun >= milliseconds(80)));
    for (const std::string& each : results)
    {
        BOOST_TEST(each == "200 x");
    }
}

BOOST_AUTO_TEST_CASE(requests_go_to_the_servers_without_limits)
{
    add_limiting_server();
    limit = "0.5";
    run();
    add_server(
        [](http::exchange& each) -> boost::asio::awaitable<void>
        {
            http::response answer;
            answer.head.headers.set(
                "I", each.received().headers.value_or_empty("I"));
            co_await each.respond(std::move(answer));
        });
    run(8);
    BOOST_TEST(request_counts[0] == 1);
    BOOST_TEST(request_counts[1] == 8);
}

BOOST_AUTO_TEST_CASE(limit_that_cannot_be_read_changes_nothing)
{
    add_limiting_server();
    limit = "many";
    run(4);
    run(4);
    BOOST_TEST(total_requests() == 8);
    limit = "0.5";
    run();
    BOOST_TEST(run().front() == "503 limited");
}

BOOST_AUTO_TEST_CASE(limit_ends_with_an_answer_that_names_none)
{
    add_limiting_server();
    limit = "20";
    run();
    limit.clear();
    run();
    const time_point begun = monotonic_clock::now();
    run(8);
    BOOST_TEST((monotonic_clock::now() - begun < milliseconds(200)));
    BOOST_TEST(total_requests() == 10);
}

BOOST_AUTO_TEST_CASE(restarted_server_has_no_limit)
{
    add_limiting_server();
    limit = "0.5";
    run();
    directory::registration row;
    row.id = engine_id("i-0");
    row.service = "s";
    row.data_centre = data_centre_id("z");
    row.address =
        "127.0.0.1:" + std::to_string(servers[0]->local_endpoint().port());
    row.slots = 8;
    row.born_ms = 17;
    state.pool.apply(row, monotonic_clock::now());
    limit.clear();
    run(4);
    BOOST_TEST(total_requests() == 5);
}

BOOST_AUTO_TEST_SUITE_END()
