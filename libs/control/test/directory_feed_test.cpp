/// What a replica sends to routers that subscribed, over a recording hub.

#include "directory_feed.hpp"

#include <limpet/base/random.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>
#include <vector>

using namespace limpet;
using namespace limpet::control;

namespace
{

/// Takes frames in place of a network.
class recording_hub final : public wire::link_hub
{
public:
    const wire::link_identity& self() const override
    {
        return m_self;
    }

    void set_peer(const vm_id& /*peer*/,
                  const boost::asio::ip::tcp::endpoint& /*at*/) override
    {
    }

    void remove_peer(const vm_id& /*peer*/) override {}

    status send(const vm_id& peer,
                wire::channel /*kind*/,
                std::string payload) override
    {
        auto decoded =
            directory::decode_update(payload, monotonic_clock::now());
        BOOST_REQUIRE(is_ok(decoded));
        sent.emplace_back(peer, std::move(value_of(decoded)));
        return success();
    }

    const wire::traffic_counters& counters() const override
    {
        return m_counters;
    }

    status set_fault(const vm_id& /*peer*/, wire::link_fault /*what*/) override
    {
        return success();
    }

    void close() override {}

    std::vector<std::pair<vm_id, directory::update>> sent;

private:
    wire::link_identity m_self{
        vm_id("10.0.0.1"), data_centre_id("north"), incarnation(1), ""};
    wire::traffic_counters m_counters;
};

/// A replica that leads, one router and the orders between them.
struct feed_router_subscribed
{
    boost::asio::io_context context;
    std::shared_ptr<recording_hub> hub = std::make_shared<recording_hub>();
    directory::intent orders;
    bool leads = true;
    directory_feed feed{context, hub, seconds(1), make_callbacks()};
    const vm_id router{"10.0.1.1"};
    std::uint64_t start = 1;

    feed_router_subscribed()
    {
        put(1);
        confirm(0);
        confirm(1);
        hub->sent.clear();
    }

    feed_callbacks make_callbacks()
    {
        feed_callbacks callbacks;
        callbacks.orders = [this]() -> const directory::intent&
        {
            return orders;
        };
        callbacks.is_sure = [this]
        {
            return leads;
        };
        callbacks.replicas = []
        {
            return std::vector<vm_id>{};
        };
        callbacks.on_contacts = [](const std::vector<vm_id>&) {};
        callbacks.on_tick = [] {};
        return callbacks;
    }

    void put(std::uint64_t version)
    {
        put(version, document(version));
    }

    void put(std::uint64_t version, std::string_view text)
    {
        directory::command order;
        order.version = directory::document_version(version);
        order.document = std::make_shared<const directory::stored_document>(
            std::string(text));
        orders.apply(version, order);
        feed.orders_changed();
    }

    static std::string document(std::uint64_t version)
    {
        return R"([{"name":"a"},{"version":)" + std::to_string(version) + "}]";
    }

    /// The router's frame that says what it holds.
    void confirm(std::uint64_t held)
    {
        confirm(router, held);
    }

    void confirm(const vm_id& from, std::uint64_t held)
    {
        directory::update news;
        news.subscribes = true;
        news.is_router = true;
        news.intent_index = held;
        news.document_index = held;
        feed.receive({from, data_centre_id("north"), incarnation(start), ""},
                     encode(news, monotonic_clock::now()));
    }

    /// Indexes of the orders that were sent.
    std::vector<std::uint64_t> told() const
    {
        std::vector<std::uint64_t> indexes;
        for (const auto& [peer, news] : hub->sent)
        {
            if (news.orders)
            {
                indexes.push_back(news.orders->index);
            }
        }
        return indexes;
    }
};

using indexes = std::vector<std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(orders_to_routers)

BOOST_FIXTURE_TEST_CASE(orders_on_their_way_are_not_sent_again,
                        feed_router_subscribed)
{
    put(2);
    // Sent by the router before the orders reached it.
    confirm(1);
    confirm(1);
    BOOST_TEST(told() == indexes{2}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(only_the_newest_of_several_orders_follows,
                        feed_router_subscribed)
{
    put(2);
    put(3);
    put(4);
    BOOST_TEST(told() == indexes{2}, boost::test_tools::per_element());
    confirm(2);
    BOOST_TEST(told() == (indexes{2, 4}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(orders_lost_with_their_link_are_sent_again,
                        feed_router_subscribed)
{
    put(2);
    feed.on_lost(router);
    confirm(1);
    BOOST_TEST(told() == (indexes{2, 2}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(restarted_router_is_sent_what_its_former_start_was,
                        feed_router_subscribed)
{
    put(2);
    start = 2;
    confirm(0);
    BOOST_TEST(told() == (indexes{2, 2}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(router_that_holds_a_recent_document_is_sent_the_change,
                        feed_router_subscribed)
{
    put(2);
    const directory::update& news = hub->sent.back().second;
    BOOST_REQUIRE(news.change.has_value());
    BOOST_TEST(news.change->base_index == 1U);
    BOOST_TEST((news.orders->document == nullptr));
    const auto delta = directory::decode_delta(news.change->delta);
    BOOST_REQUIRE(is_ok(delta));
    const auto made = directory::apply_delta(value_of(delta), document(1));
    BOOST_REQUIRE(is_ok(made));
    BOOST_TEST(value_of(made) == document(2));
}

BOOST_FIXTURE_TEST_CASE(router_without_a_known_document_is_sent_the_whole,
                        feed_router_subscribed)
{
    put(2);
    start = 2;
    confirm(0);
    const directory::update& news = hub->sent.back().second;
    BOOST_TEST(!news.change.has_value());
    BOOST_REQUIRE((news.orders->document != nullptr));
    BOOST_TEST(news.orders->document->text() == document(2));
}

BOOST_FIXTURE_TEST_CASE(order_for_a_data_centre_does_not_send_the_document,
                        feed_router_subscribed)
{
    directory::command order;
    order.kind = directory::command_kind::take_out;
    order.data_centre = "north";
    orders.apply(2, order);
    feed.orders_changed();
    const directory::update& news = hub->sent.back().second;
    BOOST_TEST(news.orders->taken_out.contains("north"));
    BOOST_REQUIRE(news.change.has_value());
    const auto delta = directory::decode_delta(news.change->delta);
    BOOST_REQUIRE(is_ok(delta));
    BOOST_TEST(value_of(delta).pieces.size() == 1U);
    BOOST_TEST(value_of(delta).pieces[0].added.empty());
}

BOOST_FIXTURE_TEST_CASE(replica_that_takes_the_lead_sends_changes_as_well,
                        feed_router_subscribed)
{
    leads = false;
    put(2);
    put(3);
    BOOST_TEST(told().empty());
    leads = true;
    confirm(2);
    BOOST_TEST(told() == indexes{3}, boost::test_tools::per_element());
    BOOST_TEST(hub->sent.back().second.change.has_value());
}

BOOST_FIXTURE_TEST_CASE(whole_documents_for_many_routers_are_sent_by_and_by,
                        feed_router_subscribed)
{
    constexpr std::size_t routers = 20;
    // Does not shrink when it is packed.
    std::string text;
    random_source random(1);
    while (text.size() < 30UL * 1024)
    {
        text += static_cast<char>(random.below(256));
    }
    put(2, text);
    std::vector<vm_id> waiting;
    for (std::size_t i = 0; i < routers; ++i)
    {
        waiting.emplace_back("10.0.2." + std::to_string(i));
        confirm(waiting.back(), 0);
    }
    const auto whole_ones = [this]
    {
        return static_cast<std::size_t>(std::count_if(
            hub->sent.begin(),
            hub->sent.end(),
            [](const auto& each)
            {
                return each.second.orders && each.second.orders->document;
            }));
    };
    BOOST_TEST(whole_ones() <= 3U);
    for (std::size_t i = 0; i < hub->sent.size(); ++i)
    {
        const auto [peer, news] = hub->sent[i];
        if (news.orders)
        {
            confirm(peer, 2);
        }
    }
    BOOST_TEST(whole_ones() == routers);
}

BOOST_AUTO_TEST_SUITE_END()
