#include <limpet/directory/load_exchange.hpp>
#include <limpet/directory/update.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::directory;

namespace
{

const time_point start_time(seconds(100));
const vm_id router_a("10.0.1.1");
const vm_id router_b("10.0.1.2");

/// Two replicas, each with one router.
struct two_replicas
{
    load_exchange first;
    load_exchange second;

    two_replicas()
    {
        first.record_from_router(router_a, {}, start_time);
        second.record_from_router(router_b, {}, start_time);
    }

    void report(std::uint64_t server,
                std::uint32_t requests,
                time_point at = start_time)
    {
        first.record_from_router(router_a, {{server, requests, at}}, at);
    }

    void pass_on(time_point now = start_time)
    {
        second.record_from_replica(first.take_for_replicas(now));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_exchanges, two_replicas)

BOOST_AUTO_TEST_CASE(report_reaches_the_routers_of_another_replica)
{
    report(7, 5);
    pass_on();
    const auto received = second.take_for_router(router_b, start_time);
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received[0].server == 7U);
    BOOST_TEST(received[0].requests == 5U);
    BOOST_TEST((received[0].measured_at == start_time));
}

BOOST_AUTO_TEST_CASE(passed_on_report_is_not_passed_to_replicas_again)
{
    report(7, 5);
    pass_on();
    BOOST_TEST(second.take_for_replicas(start_time).empty());
}

BOOST_AUTO_TEST_CASE(older_report_does_not_replace_a_newer_one)
{
    report(7, 5);
    first.record_from_replica({{7, 1, start_time - milliseconds(1)}});
    BOOST_TEST(first.take_for_router(router_a, start_time)[0].requests == 5U);
}

BOOST_AUTO_TEST_CASE(small_change_is_sent_only_after_a_second)
{
    report(7, 5);
    BOOST_TEST(first.take_for_router(router_a, start_time).size() == 1U);
    const time_point soon = start_time + milliseconds(250);
    report(7, 6, soon);
    BOOST_TEST(first.take_for_router(router_a, soon).empty());
    report(7, 7, soon + milliseconds(1));
    BOOST_TEST(first.take_for_router(router_a, soon).size() == 1U);
    const time_point later = soon + milliseconds(1001);
    report(7, 7, later);
    BOOST_TEST(first.take_for_router(router_a, later).size() == 1U);
}

BOOST_AUTO_TEST_CASE(most_loaded_servers_are_sent_first)
{
    for (std::uint32_t i = 0; i < 200; ++i)
    {
        report(i, i);
    }
    const auto sent = first.take_for_router(router_a, start_time);
    BOOST_REQUIRE(sent.size() < 200U);
    BOOST_TEST(sent.front().requests == 199U);
    const auto rest = first.take_for_router(router_a, start_time);
    BOOST_TEST(sent.size() + rest.size() == 200U);
}

BOOST_AUTO_TEST_CASE(old_reports_and_lost_routers_are_forgotten)
{
    report(7, 5);
    BOOST_TEST(first.routers(start_time).size() == 1U);
    const time_point later = start_time + seconds(6);
    first.evict_expired(later);
    BOOST_TEST(first.routers(later).empty());
    BOOST_TEST(first.take_for_router(router_a, later).empty());
}

BOOST_AUTO_TEST_CASE(frame_keeps_the_age_of_reports)
{
    update frame;
    frame.exchanges_loads = true;
    frame.loads = {{7, 5, start_time - milliseconds(40)},
                   {8, 100'000, start_time - seconds(100)}};
    const time_point received = start_time + seconds(1000);
    const auto decoded = decode_update(encode(frame, start_time), received);
    BOOST_REQUIRE(is_ok(decoded));
    BOOST_TEST(value_of(decoded).exchanges_loads);
    const auto& loads = value_of(decoded).loads;
    BOOST_REQUIRE(loads.size() == 2U);
    BOOST_TEST(loads[0].server == 7U);
    BOOST_TEST(loads[0].requests == 5U);
    BOOST_TEST((loads[0].measured_at == received - milliseconds(40)));
    // The wire carries 16 bits.
    BOOST_TEST(loads[1].requests == 65'535U);
    BOOST_TEST((loads[1].measured_at == received - milliseconds(65'535)));
}

BOOST_AUTO_TEST_SUITE_END()
