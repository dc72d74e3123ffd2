/// What a gateway takes from the replicas, over real links on loopback.

#include "directory_client.hpp"

#include <limpet/http/endpoint.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

namespace net = boost::asio;

const vm_id replica_vm("127.0.3.1");
const vm_id router_vm("127.0.3.2");

/// Returns a port that is free at both addresses; all replicas and routers
/// use the same one.
std::uint16_t find_port(net::io_context& context)
{
    const net::ip::tcp::endpoint any(net::ip::make_address(router_vm.get()), 0);
    net::ip::tcp::acceptor probe(context, any);
    return probe.local_endpoint().port();
}

/// A client that subscribed to a replica played by the test.
struct client_replica_found
{
    net::io_context context;
    std::uint16_t port = find_port(context);
    std::vector<fleet_orders> taken;
    /// Servers that the client passed on.
    std::vector<std::string> changed;
    /// Indexes of the documents that the client said it keeps.
    std::vector<std::uint64_t> held;
    /// Whether the replica is sure that what it tells is the newest.
    bool is_sure = true;
    std::shared_ptr<wire::link_hub> replica = open_replica();
    std::unique_ptr<directory_client> client = open_client();

    client_replica_found()
    {
        run_until(
            [this]
            {
                return !held.empty();
            });
    }

    ~client_replica_found()
    {
        client->close();
        replica->close();
        context.poll();
    }

    client_replica_found(const client_replica_found&) = delete;
    client_replica_found& operator=(const client_replica_found&) = delete;

    net::ip::tcp::endpoint at(const vm_id& vm) const
    {
        return {net::ip::make_address(vm.get()), port};
    }

    std::shared_ptr<wire::link_hub> open_replica()
    {
        wire::link_handlers handlers;
        handlers.on_frame = [this](const wire::link_identity&,
                                   wire::channel,
                                   const std::string& payload)
        {
            const auto news =
                directory::decode_update(payload, monotonic_clock::now());
            BOOST_REQUIRE(is_ok(news));
            held.push_back(value_of(news).document_index);
        };
        handlers.on_lost = [](const vm_id&) {};
        const wire::link_identity identity{replica_vm,
                                           data_centre_id("north"),
                                           incarnation(1),
                                           http::to_string(at(replica_vm))};
        auto made = wire::link_hub::listen(
            context, at(replica_vm), identity, {}, std::move(handlers));
        BOOST_REQUIRE(is_ok(made));
        value_of(made)->set_peer(router_vm, at(router_vm));
        return value_of(std::move(made));
    }

    std::unique_ptr<directory_client> open_client()
    {
        gateway_settings settings;
        settings.vm = router_vm;
        settings.data_centre = data_centre_id("north");
        settings.peers = at(router_vm);
        settings.seeds = {at(replica_vm)};
        directory_callbacks callbacks;
        callbacks.on_orders = [this](const fleet_orders& orders)
        {
            taken.push_back(orders);
        };
        callbacks.on_registration = [this](const directory::registration& row)
        {
            changed.push_back(row.id.get());
        };
        callbacks.on_servers_changed = [] {};
        callbacks.on_routers = [](std::uint32_t) {};
        auto made =
            directory_client::listen(context, settings, std::move(callbacks));
        BOOST_REQUIRE(is_ok(made));
        return value_of(std::move(made));
    }

    template <class Condition>
    void run_until(Condition is_reached)
    {
        while (!is_reached())
        {
            context.run_one();
        }
    }

    void tell(const directory::update& news)
    {
        const status sent = replica->send(router_vm,
                                          wire::channel::directory,
                                          encode(news, monotonic_clock::now()));
        BOOST_REQUIRE(is_ok(sent));
    }

    void tell_whole(std::uint64_t index, std::string_view text)
    {
        directory::update news;
        news.orders.emplace();
        news.intent_index = index;
        news.is_sure = is_sure;
        news.orders->document =
            std::make_shared<const directory::stored_document>(
                std::string(text));
        tell(news);
    }

    void tell_change(std::uint64_t index,
                     std::uint64_t base,
                     std::string_view former,
                     std::string_view text)
    {
        directory::update news;
        news.orders.emplace();
        news.intent_index = index;
        news.is_sure = is_sure;
        news.change = directory::document_change{
            base, encode(directory::make_delta(former, text))};
        tell(news);
    }

    /// Waits until the client's last frame says that it holds the index.
    void wait_until_held(std::uint64_t index)
    {
        run_until(
            [this, index]
            {
                return held.back() == index;
            });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(orders_from_replicas)

BOOST_FIXTURE_TEST_CASE(only_servers_that_changed_are_passed_on,
                        client_replica_found)
{
    directory::registration row;
    row.id = engine_id("a");
    row.address = "10.0.0.1:80";
    row.heard_at = monotonic_clock::now();
    directory::update news;
    news.registrations = {row};
    tell(news);
    tell(news);
    row.id = engine_id("b");
    row.address = "10.0.0.2:80";
    news.registrations = {row};
    tell(news);
    run_until(
        [this]
        {
            return !changed.empty() && changed.back() == "b";
        });
    BOOST_TEST(changed == (std::vector<std::string>{"a", "b"}),
               boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(orders_taken_are_confirmed_at_once,
                        client_replica_found)
{
    tell_whole(3, "[{1},{2}]");
    wait_until_held(3);
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(taken[0].document == "[{1},{2}]");
}

BOOST_FIXTURE_TEST_CASE(change_makes_the_new_document, client_replica_found)
{
    tell_whole(3, "[{1},{2}]");
    tell_change(4, 3, "[{1},{2}]", "[{1},{2},{3}]");
    run_until(
        [this]
        {
            return taken.size() == 2;
        });
    BOOST_TEST(taken[1].index == 4U);
    BOOST_TEST(taken[1].document == "[{1},{2},{3}]");
}

BOOST_FIXTURE_TEST_CASE(older_orders_are_not_taken, client_replica_found)
{
    tell_whole(3, "[{1}]");
    tell_whole(2, "[{0}]");
    tell_whole(4, "[{2}]");
    wait_until_held(4);
    BOOST_TEST(taken.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(change_that_does_not_fit_is_asked_for_whole,
                        client_replica_found)
{
    tell_whole(3, "[{1},{2}]");
    wait_until_held(3);
    tell_change(5, 4, "[{8},{9}]", "[{8},{9},{3}]");
    wait_until_held(0);
    BOOST_TEST(taken.size() == 1U);
    tell_whole(5, "[{8},{9},{3}]");
    wait_until_held(5);
    BOOST_TEST(taken.back().document == "[{8},{9},{3}]");
}

BOOST_FIXTURE_TEST_CASE(first_orders_of_an_unsure_replica_wait_for_proof,
                        client_replica_found)
{
    is_sure = false;
    tell_whole(3, "[{1}]");
    wait_until_held(3);
    BOOST_TEST(taken.empty());
    is_sure = true;
    tell_change(3, 3, "[{1}]", "[{1}]");
    tell_change(4, 3, "[{1}]", "[{1},{2}]");
    wait_until_held(4);
    BOOST_REQUIRE(taken.size() == 2U);
    BOOST_TEST(taken[0].document == "[{1}]");
}

BOOST_FIXTURE_TEST_CASE(older_proof_puts_newer_orders_in_force,
                        client_replica_found)
{
    is_sure = false;
    tell_whole(5, "[{5}]");
    wait_until_held(5);
    is_sure = true;
    tell_whole(3, "[{3}]");
    tell_whole(6, "[{6}]");
    wait_until_held(6);
    BOOST_REQUIRE(taken.size() == 2U);
    BOOST_TEST(taken[0].document == "[{5}]");
}

BOOST_FIXTURE_TEST_CASE(later_orders_of_any_replica_are_in_force,
                        client_replica_found)
{
    tell_whole(3, "[{1}]");
    is_sure = false;
    tell_change(4, 3, "[{1}]", "[{1},{2}]");
    wait_until_held(4);
    BOOST_TEST(taken.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
