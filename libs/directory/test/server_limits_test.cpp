#include <limpet/directory/load_exchange.hpp>
#include <limpet/directory/update.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::directory;

namespace
{

const time_point start_time(seconds(1000));
const vm_id router_a("10.0.1.1");
const vm_id router_b("10.0.1.2");

/// Two routers that rely on one replica.
struct two_routers_and_a_replica
{
    load_exchange replica;
    load_peer a;
    load_peer b;
    limit_table limits_of_a;
    limit_table limits_of_b;
    std::size_t sent_limits = 0;

    load_update take(load_peer& peer, const limit_table& limits, time_point now)
    {
        load_update update = peer.take({}, {}, now);
        peer.add_server_limits(update, limits, {});
        sent_limits += update.limits.size();
        return update;
    }

    void apply(load_peer& peer, limit_table& limits, const load_update& update)
    {
        peer.apply(update);
        sent_limits += update.limits.size();
        for (const server_limit& each : update.limits)
        {
            limits.merge(each);
        }
    }

    void exchange(time_point now)
    {
        sent_limits = 0;
        replica.record_router(router_a, take(a, limits_of_a, now), now);
        replica.record_router(router_b, take(b, limits_of_b, now), now);
        for (const auto& [vm, update] : replica.take_updates({}, now))
        {
            vm == router_a ? apply(a, limits_of_a, update)
                           : apply(b, limits_of_b, update);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_limits)

BOOST_AUTO_TEST_CASE(newer_revision_replaces_the_limit)
{
    limit_table table;
    table.set({7, 2, 0.5, 0, start_time});
    BOOST_TEST(!table.merge({7, 1, 3.0, 0, start_time + seconds(9)}));
    BOOST_TEST(*table.find(7)->rate == 0.5);
    BOOST_TEST(table.merge({7, 3, std::nullopt, 0, start_time}));
    BOOST_TEST(!table.find(7)->rate.has_value());
    BOOST_TEST(table.find(8) == nullptr);
}

BOOST_AUTO_TEST_CASE(changes_made_at_the_same_time_end_with_the_lowest_limit)
{
    const server_limit none{7, 2, std::nullopt, 0, start_time};
    const server_limit low{7, 2, 0.5, 0, start_time};
    const server_limit high{7, 2, 4.0, 0, start_time};
    for (const server_limit& first : {none, low, high})
    {
        limit_table table;
        for (const server_limit& each : {first, high, none, low, high, none})
        {
            table.merge(each);
        }
        BOOST_TEST(*table.find(7)->rate == 0.5);
    }
}

BOOST_AUTO_TEST_CASE(limit_that_no_answer_confirms_is_removed)
{
    limit_table table;
    table.set({7, 1, 0.5, 0, start_time});
    table.remove_unconfirmed(start_time + seconds(599));
    BOOST_TEST(table.find(7) != nullptr);
    table.merge({7, 1, 0.5, 0, start_time + seconds(300)});
    table.remove_unconfirmed(start_time + seconds(600));
    BOOST_TEST(table.find(7) != nullptr);
    table.remove_unconfirmed(start_time + seconds(900));
    BOOST_TEST(table.find(7) == nullptr);
}

BOOST_AUTO_TEST_CASE(table_of_limits_is_bounded)
{
    limit_table table;
    for (std::uint64_t i = 0; i < 2 * limit_table::max_limits; ++i)
    {
        table.merge({i, 1, 0.5, 0, start_time});
    }
    BOOST_TEST(table.all().size() == limit_table::max_limits);
}

BOOST_FIXTURE_TEST_CASE(limit_reaches_the_other_router_once,
                        two_routers_and_a_replica)
{
    exchange(start_time);
    limits_of_a.set({7, 1, 0.5, 0, start_time});
    exchange(start_time + milliseconds(100));
    exchange(start_time + milliseconds(200));
    BOOST_REQUIRE(limits_of_b.find(7) != nullptr);
    BOOST_TEST(*limits_of_b.find(7)->rate == 0.5);
    exchange(start_time + milliseconds(300));
    BOOST_TEST(sent_limits == 0U);
}

BOOST_FIXTURE_TEST_CASE(confirmed_limit_is_sent_again_once_in_a_period,
                        two_routers_and_a_replica)
{
    std::size_t sent = 0;
    for (int tenth = 0; tenth < 200; ++tenth)
    {
        const time_point now = start_time + milliseconds(100 * tenth);
        limits_of_a.set({7, 1, 0.5, 0, now});
        exchange(now);
        sent += sent_limits;
    }
    // 20 s: four periods, each with a message of the router and one to the
    // other router; and the first two.
    BOOST_TEST(sent <= 10U);
    BOOST_TEST((limits_of_b.find(7)->confirmed_at > start_time + seconds(14)));
}

BOOST_FIXTURE_TEST_CASE(replica_that_was_restarted_learns_the_limits,
                        two_routers_and_a_replica)
{
    limits_of_a.set({7, 1, 0.5, 0, start_time});
    exchange(start_time);
    replica = {};
    a.on_lost();
    b.on_lost();
    limits_of_b = {};
    exchange(start_time + milliseconds(100));
    exchange(start_time + milliseconds(200));
    BOOST_TEST(limits_of_b.find(7) != nullptr);
}

BOOST_AUTO_TEST_CASE(frame_carries_limits)
{
    update frame;
    frame.loads = load_update{};
    frame.loads->limits = {{7, 3, 2.125, 4, start_time - seconds(2)},
                           {8, 1, std::nullopt, 0, start_time}};
    const auto decoded = decode_update(encode(frame, start_time), start_time);
    BOOST_REQUIRE(is_ok(decoded));
    const auto& limits = value_of(decoded).loads->limits;
    BOOST_REQUIRE(limits.size() == 2U);
    BOOST_TEST(is_same_limit(limits[0], frame.loads->limits[0]));
    BOOST_TEST((limits[0].confirmed_at == start_time - seconds(2)));
    BOOST_TEST(!limits[1].rate.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
