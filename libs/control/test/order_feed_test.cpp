/// Assignment of routers to the replicas that send them orders, and its
/// timing.

#include "order_feed.hpp"

#include <limpet/base/random.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace limpet;
using namespace limpet::control;

namespace
{

const time_point start(seconds(100));
constexpr std::size_t router_count = 40;
/// Time in which a document must be in force at all routers.
constexpr duration max_apply_time = seconds(2);

/// Two replicas, the first of which is the leader, and routers without orders.
struct two_replica_fixture
{
    directory::intent orders;
    std::vector<vm_id> replicas{vm_id("10.0.0.1"), vm_id("10.0.0.2")};
    std::vector<vm_id> routers;
    bool first_is_leader = true;
    bool has_capacity = true;
    bool routers_forward = false;
    order_feed first{replicas[0], make_source(true)};
    order_feed second{replicas[1], make_source(false)};

    two_replica_fixture()
    {
        for (std::size_t i = 0; i < router_count; ++i)
        {
            routers.emplace_back("10.0.1." + std::to_string(i));
        }
    }

    order_source make_source(bool is_first)
    {
        return {[this]() -> const directory::intent&
                {
                    return orders;
                },
                [this, is_first]
                {
                    return is_first == first_is_leader;
                },
                [this]
                {
                    return replicas;
                },
                [this]
                {
                    return has_capacity;
                }};
    }

    void put_document(std::uint64_t version, std::string text)
    {
        directory::command order;
        order.version = directory::document_version(version);
        order.document =
            std::make_shared<const directory::stored_document>(std::move(text));
        orders.apply(version, order);
        first.orders_changed(start);
        second.orders_changed(start);
    }

    /// Returns a text that does not shrink when it is compressed.
    static std::string large_text(std::uint64_t seed)
    {
        random_source random(seed);
        std::string text;
        while (text.size() < 20000)
        {
            text += static_cast<char>(random.below(256));
        }
        return text;
    }

    void acknowledge(const vm_id& router,
                     std::uint64_t in_force,
                     std::uint64_t document,
                     bool is_new = false)
    {
        directory::update frame;
        frame.intent_index = in_force;
        frame.document_index = document;
        frame.forwards = routers_forward;
        const router_report from{router, data_centre_id("north"), start};
        first.record_state(from, frame, is_new);
        second.record_state(from, frame, is_new);
    }

    void acknowledge_all(std::uint64_t in_force,
                         std::uint64_t document,
                         bool is_new = false)
    {
        for (const vm_id& each : routers)
        {
            acknowledge(each, in_force, document, is_new);
        }
    }

    static directory::update
    sent_by(order_feed& feed, const vm_id& router, time_point now)
    {
        directory::update frame;
        feed.add_orders(frame, router, now);
        return frame;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(distributed_orders)

BOOST_FIXTURE_TEST_CASE(small_updates_come_from_the_leader, two_replica_fixture)
{
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    put_document(2, "[{1},{2}]");
    for (const vm_id& each : routers)
    {
        BOOST_TEST(sent_by(first, each, start).orders.has_value());
        BOOST_TEST(!sent_by(second, each, start).orders.has_value());
    }
}

BOOST_FIXTURE_TEST_CASE(
    router_without_a_document_is_sent_one_while_there_is_no_leader,
    two_replica_fixture)
{
    put_document(1, "[{1}]");
    acknowledge_all(0, 0, true);
    const auto not_leading = [](order_source source)
    {
        source.has_lease = []
        {
            return false;
        };
        return source;
    };
    order_feed third{replicas[0], not_leading(make_source(true))};
    order_feed fourth{replicas[1], not_leading(make_source(false))};
    for (const vm_id& each : routers)
    {
        const bool from_third = sent_by(third, each, start).orders.has_value();
        const bool from_fourth =
            sent_by(fourth, each, start).orders.has_value();
        BOOST_TEST(from_third != from_fourth);
    }
}

BOOST_FIXTURE_TEST_CASE(large_updates_come_from_one_replica_for_each_router,
                        two_replica_fixture)
{
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    put_document(2, large_text(2));
    std::size_t by_first = 0;
    for (const vm_id& each : routers)
    {
        const bool from_first = sent_by(first, each, start).orders.has_value();
        const bool from_second =
            sent_by(second, each, start).orders.has_value();
        BOOST_TEST(from_first != from_second);
        by_first += from_first ? 1 : 0;
        // An acknowledged document frees capacity in the delivery window.
        acknowledge(each, 2, 2);
    }
    BOOST_TEST(by_first > router_count / 4);
    BOOST_TEST(by_first < router_count * 3 / 4);
}

BOOST_FIXTURE_TEST_CASE(leader_sends_documents_not_relayed_in_time,
                        two_replica_fixture)
{
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    put_document(2, large_text(2));
    for (const vm_id& each : routers)
    {
        time_point now = start;
        while (!sent_by(first, each, now).orders)
        {
            now += milliseconds(50);
            BOOST_REQUIRE((now < start + seconds(1)));
        }
        acknowledge(each, 2, 2);
    }
}

BOOST_FIXTURE_TEST_CASE(leader_sends_documents_that_supersede_unrelayed_ones,
                        two_replica_fixture)
{
    // The relay of some routers sends nothing, and each document is replaced
    // before the leader would send it in the relay's place.
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    std::map<vm_id, std::uint64_t> held;
    std::vector<time_point> put_at = {start, start};
    for (time_point now = start; now < start + seconds(8);
         now += milliseconds(50))
    {
        if (now >= put_at.back() + milliseconds(300) || put_at.size() == 2)
        {
            put_at.push_back(now);
            put_document(put_at.size() - 1, large_text(put_at.size()));
        }
        for (const vm_id& each : routers)
        {
            std::uint64_t& version = held[each];
            if (sent_by(first, each, now).orders)
            {
                version = put_at.size() - 1;
                acknowledge(each, version, version);
            }
            BOOST_REQUIRE(version + 1 >= put_at.size() ||
                          now < put_at[version + 1] + max_apply_time);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(change_of_a_document_that_a_router_lost_is_sent_anew,
                        two_replica_fixture)
{
    // The router gets another document meanwhile or cannot apply the change, so
    // that what was sent will never arrive.
    put_document(1, "[{1}]");
    for (const std::uint64_t reported : {2U, 0U})
    {
        const vm_id& router = routers.front();
        acknowledge(router, 1, 1, true);
        put_document(2, "[{1},{2}]");
        put_document(3, "[{1},{2},{3}]");
        BOOST_REQUIRE(sent_by(first, router, start).orders.has_value());
        // A report of the time before the change says nothing of it.
        acknowledge(router, 1, 1);
        BOOST_TEST(!sent_by(first, router, start).orders.has_value());
        acknowledge(router, 1, reported);
        const directory::update again = sent_by(first, router, start);
        BOOST_REQUIRE(again.orders.has_value());
        BOOST_TEST(again.change.has_value() == (reported != 0));
    }
}

BOOST_FIXTURE_TEST_CASE(first_document_of_a_router_is_confirmed_by_the_leader,
                        two_replica_fixture)
{
    put_document(1, large_text(1));
    acknowledge_all(0, 0, true);
    for (const vm_id& each : routers)
    {
        const directory::update relayed = sent_by(second, each, start);
        if (!relayed.orders)
        {
            continue;
        }
        BOOST_TEST(!relayed.is_sure);
        BOOST_TEST((relayed.orders->document != nullptr));
        acknowledge(each, 0, 1);
        BOOST_TEST(!sent_by(second, each, start).orders.has_value());
        const directory::update confirmation = sent_by(first, each, start);
        BOOST_REQUIRE(confirmation.orders.has_value());
        BOOST_TEST(confirmation.is_sure);
        BOOST_REQUIRE(confirmation.change.has_value());
        BOOST_TEST(confirmation.change->delta.size() < 200U);
        BOOST_TEST(!sent_by(first, each, start).orders.has_value());
    }
}

BOOST_FIXTURE_TEST_CASE(replica_that_becomes_leader_confirms_its_documents,
                        two_replica_fixture)
{
    put_document(1, large_text(1));
    acknowledge_all(0, 0, true);
    for (const vm_id& each : routers)
    {
        if (!sent_by(second, each, start).orders)
        {
            continue;
        }
        first_is_leader = false;
        acknowledge(each, 0, 1);
        BOOST_TEST(sent_by(second, each, start).is_sure);
        first_is_leader = true;
        acknowledge(each, 1, 1);
    }
}

BOOST_FIXTURE_TEST_CASE(
    large_document_crosses_the_link_once_for_several_routers,
    two_replica_fixture)
{
    routers_forward = true;
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    put_document(2, large_text(2));
    std::set<vm_id> reached;
    std::size_t frames = 0;
    for (const vm_id& each : routers)
    {
        for (order_feed* feed : {&first, &second})
        {
            const directory::update frame = sent_by(*feed, each, start);
            frames += frame.orders ? 1 : 0;
            if (frame.orders)
            {
                BOOST_TEST(reached.insert(each).second);
                acknowledge(each, 2, 2);
            }
            for (const vm_id& target : frame.forward_to)
            {
                BOOST_TEST(frame.orders.has_value());
                BOOST_TEST(reached.insert(target).second);
            }
        }
    }
    BOOST_TEST(reached.size() == routers.size());
    BOOST_TEST(frames <= router_count / 4);
}

BOOST_FIXTURE_TEST_CASE(
    document_that_was_not_forwarded_in_time_is_sent_directly,
    two_replica_fixture)
{
    routers_forward = true;
    replicas.pop_back();
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    put_document(2, large_text(2));
    const directory::update frame = sent_by(first, routers.front(), start);
    BOOST_REQUIRE(!frame.forward_to.empty());
    const vm_id& target = frame.forward_to.front();
    BOOST_TEST(!sent_by(first, target, start).orders.has_value());
    const time_point later = start + milliseconds(700);
    const directory::update again = sent_by(first, target, later);
    BOOST_TEST(again.orders.has_value());
    BOOST_TEST(!sent_by(first, target, later).orders.has_value());
}

BOOST_FIXTURE_TEST_CASE(
    router_of_a_release_that_does_not_forward_is_sent_the_document,
    two_replica_fixture)
{
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    put_document(2, large_text(2));
    for (const vm_id& each : routers)
    {
        BOOST_TEST(sent_by(first, each, start).forward_to.empty());
        BOOST_TEST(sent_by(second, each, start).forward_to.empty());
        acknowledge(each, 2, 2);
    }
}

BOOST_FIXTURE_TEST_CASE(router_that_is_silent_forwards_nothing,
                        two_replica_fixture)
{
    routers_forward = true;
    replicas.pop_back();
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    put_document(2, large_text(2));
    const time_point later = start + seconds(1);
    const directory::update frame = sent_by(first, routers.front(), later);
    BOOST_TEST(frame.orders.has_value());
    BOOST_TEST(frame.forward_to.empty());
}

BOOST_FIXTURE_TEST_CASE(router_of_another_data_centre_gets_a_frame_of_its_own,
                        two_replica_fixture)
{
    routers_forward = true;
    replicas.pop_back();
    put_document(1, "[{1}]");
    acknowledge_all(1, 1, true);
    const vm_id& far = routers[1];
    directory::update report;
    report.intent_index = 1;
    report.document_index = 1;
    report.forwards = true;
    first.record_state({far, data_centre_id("south"), start}, report, false);
    put_document(2, large_text(2));
    const directory::update frame = sent_by(first, routers.front(), start);
    BOOST_TEST(
        std::count(frame.forward_to.begin(), frame.forward_to.end(), far) == 0);
    BOOST_TEST(sent_by(first, far, start).orders.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
