/// Tests how a gateway applies updates from control replicas, over real links
/// on loopback.

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
const vm_id other_router_vm("127.0.3.3");

/// Returns a free port of the router's address. The replica uses the same port
/// at its own address, as all replicas and routers do.
std::uint16_t find_port(net::io_context& context)
{
    const net::ip::tcp::endpoint any(net::ip::make_address(router_vm.get()), 0);
    net::ip::tcp::acceptor probe(context, any);
    return probe.local_endpoint().port();
}

/// A directory client that has subscribed to a replica simulated by the test.
struct client_and_replica
{
    net::io_context context;
    std::uint16_t port = find_port(context);
    std::vector<fleet_orders> applied;
    /// Servers for which the client called on_registration.
    std::vector<std::string> changed;
    /// Document indexes that the client confirmed to the replica.
    std::vector<std::uint64_t> confirmed;
    /// When the client sent its last subscription.
    time_point last_asked_at{};
    std::uint32_t router_count = 0;
    /// Messages of the exchange of loads, as either side received them.
    std::vector<directory::load_update> loads_at_replica;
    std::vector<directory::load_update> loads_at_client;
    int replaced_load_peers = 0;
    /// Other routers, as the replica named them, and what they sent.
    origins::router_map routers;
    std::vector<std::pair<vm_id, std::string>> router_frames;
    /// Whether the replica marks its orders as the newest.
    bool is_sure = true;
    std::shared_ptr<wire::link_hub> replica = open_replica();
    std::unique_ptr<directory_client> client = open_client();

    client_and_replica()
    {
        run_until(
            [this]
            {
                return !confirmed.empty();
            });
    }

    ~client_and_replica()
    {
        client->close();
        replica->close();
        context.poll();
    }

    client_and_replica(const client_and_replica&) = delete;
    client_and_replica& operator=(const client_and_replica&) = delete;

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
            const auto update =
                directory::decode_update(payload, monotonic_clock::now());
            BOOST_REQUIRE(is_ok(update));
            if (value_of(update).loads)
            {
                loads_at_replica.push_back(*value_of(update).loads);
                return;
            }
            confirmed.push_back(value_of(update).document_index);
            last_asked_at = value_of(update).asked_at;
        };
        handlers.on_lost = [](const vm_id&) {};
        const wire::link_identity identity{replica_vm,
                                           data_centre_id("north"),
                                           incarnation(1),
                                           http::to_string(at(replica_vm))};
        auto opened = wire::link_hub::listen(
            context, at(replica_vm), identity, {}, std::move(handlers));
        BOOST_REQUIRE(is_ok(opened));
        value_of(opened)->set_peer(router_vm, at(router_vm));
        return value_of(std::move(opened));
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
            applied.push_back(orders);
        };
        callbacks.on_registration = [this](const directory::registration& row)
        {
            changed.push_back(row.id.get());
        };
        callbacks.on_servers_changed = [] {};
        callbacks.on_routers = [this](std::uint32_t count)
        {
            router_count = count;
        };
        callbacks.on_router_map = [this](const origins::router_map& all)
        {
            routers = all;
        };
        callbacks.on_router_frame =
            [this](const vm_id& from, const std::string& payload)
        {
            router_frames.emplace_back(from, payload);
        };
        callbacks.on_router_lost = [](const vm_id&) {};
        callbacks.on_replicas_checked = [](const std::set<vm_id>&,
                                           const std::set<vm_id>&) {};
        callbacks.take_load_update = []
        {
            return std::optional(directory::load_update{true, true, {{7, 5}}});
        };
        callbacks.on_load_update = [this](const directory::load_update& update)
        {
            loads_at_client.push_back(update);
        };
        callbacks.on_load_peer_lost = [] {};
        callbacks.on_load_peer_replaced = [this]
        {
            ++replaced_load_peers;
        };
        auto opened =
            directory_client::listen(context, settings, std::move(callbacks));
        BOOST_REQUIRE(is_ok(opened));
        return value_of(std::move(opened));
    }

    template <class Condition>
    void run_until(Condition is_reached)
    {
        while (!is_reached())
        {
            context.run_one();
        }
    }

    void send_update(const directory::update& update)
    {
        const status sent =
            replica->send(router_vm,
                          wire::channel::directory,
                          encode(update, monotonic_clock::now()));
        BOOST_REQUIRE(is_ok(sent));
    }

    void send_document(std::uint64_t index, std::string_view text)
    {
        directory::update update;
        update.orders.emplace();
        update.intent_index = index;
        update.is_sure = is_sure;
        update.orders->document =
            std::make_shared<const directory::stored_document>(
                std::string(text));
        send_update(update);
    }

    void send_change(std::uint64_t index,
                     std::uint64_t base,
                     std::string_view base_text,
                     std::string_view text)
    {
        directory::update update;
        update.orders.emplace();
        update.intent_index = index;
        update.is_sure = is_sure;
        update.change = directory::document_change{
            base, encode(directory::make_delta(base_text, text))};
        send_update(update);
    }

    /// Waits until the client's last frame confirms the document index.
    void wait_until_confirmed(std::uint64_t index)
    {
        run_until(
            [this, index]
            {
                return confirmed.back() == index;
            });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(orders_from_replicas)

BOOST_FIXTURE_TEST_CASE(only_changed_servers_are_reported, client_and_replica)
{
    directory::registration row;
    row.id = engine_id("a");
    row.address = "10.0.0.1:80";
    row.heard_at = monotonic_clock::now();
    directory::update update;
    update.registrations = {row};
    send_update(update);
    send_update(update);
    row.id = engine_id("b");
    row.address = "10.0.0.2:80";
    update.registrations = {row};
    send_update(update);
    run_until(
        [this]
        {
            return !changed.empty() && changed.back() == "b";
        });
    BOOST_TEST(changed == (std::vector<std::string>{"a", "b"}),
               boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(applied_orders_are_confirmed_at_once,
                        client_and_replica)
{
    send_document(3, "[{1},{2}]");
    wait_until_confirmed(3);
    BOOST_REQUIRE(applied.size() == 1U);
    BOOST_TEST(applied[0].document == "[{1},{2}]");
}

BOOST_FIXTURE_TEST_CASE(delta_is_applied_to_the_document, client_and_replica)
{
    send_document(3, "[{1},{2}]");
    send_change(4, 3, "[{1},{2}]", "[{1},{2},{3}]");
    run_until(
        [this]
        {
            return applied.size() == 2;
        });
    BOOST_TEST(applied[1].index == 4U);
    BOOST_TEST(applied[1].document == "[{1},{2},{3}]");
}

BOOST_FIXTURE_TEST_CASE(older_orders_are_ignored, client_and_replica)
{
    send_document(3, "[{1}]");
    send_document(2, "[{0}]");
    send_document(4, "[{2}]");
    wait_until_confirmed(4);
    BOOST_TEST(applied.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(
    document_is_requested_in_full_after_a_delta_for_another_base,
    client_and_replica)
{
    send_document(3, "[{1},{2}]");
    wait_until_confirmed(3);
    send_change(5, 4, "[{8},{9}]", "[{8},{9},{3}]");
    wait_until_confirmed(0);
    BOOST_TEST(applied.size() == 1U);
    send_document(5, "[{8},{9},{3}]");
    wait_until_confirmed(5);
    BOOST_TEST(applied.back().document == "[{8},{9},{3}]");
}

BOOST_FIXTURE_TEST_CASE(document_is_kept_after_a_delta_for_an_older_one,
                        client_and_replica)
{
    send_document(3, "[{1},{2}]");
    wait_until_confirmed(3);
    send_change(5, 2, "[{8},{9}]", "[{8},{9},{3}]");
    send_change(4, 3, "[{1},{2}]", "[{1},{2},{3}]");
    wait_until_confirmed(4);
    BOOST_TEST(applied.back().document == "[{1},{2},{3}]");
}

BOOST_FIXTURE_TEST_CASE(
    first_orders_wait_until_a_replica_confirms_them_as_newest,
    client_and_replica)
{
    is_sure = false;
    send_document(3, "[{1}]");
    wait_until_confirmed(3);
    BOOST_TEST(applied.empty());
    is_sure = true;
    send_change(3, 3, "[{1}]", "[{1}]");
    send_change(4, 3, "[{1}]", "[{1},{2}]");
    wait_until_confirmed(4);
    BOOST_REQUIRE(applied.size() == 2U);
    BOOST_TEST(applied[0].document == "[{1}]");
}

BOOST_FIXTURE_TEST_CASE(
    first_orders_need_no_leader_if_most_replicas_have_no_newer_ones,
    client_and_replica)
{
    is_sure = false;
    send_document(3, "[{1}]");
    wait_until_confirmed(3);
    directory::update answer;
    answer.asked_at = last_asked_at;
    answer.replicas = {replica_vm};
    // First the replica has newer orders, then entries that are not applied.
    answer.is_settled = true;
    answer.intent_index = 4;
    send_update(answer);
    answer.is_settled = false;
    answer.intent_index = 3;
    send_update(answer);
    send_document(2, "[{0}]");
    wait_until_confirmed(3);
    BOOST_TEST(applied.empty());
    answer.is_settled = true;
    send_update(answer);
    run_until(
        [this]
        {
            return !applied.empty();
        });
    BOOST_TEST(applied[0].document == "[{1}]");
    BOOST_TEST(applied[0].index == 3U);
}

BOOST_FIXTURE_TEST_CASE(
    first_orders_do_not_come_into_force_by_the_word_of_a_minority,
    client_and_replica)
{
    is_sure = false;
    directory::update first;
    first.orders.emplace();
    first.orders->document = std::make_shared<const directory::stored_document>(
        std::string("[{1}]"));
    first.intent_index = 3;
    first.asked_at = last_asked_at;
    first.is_settled = true;
    // A replica that has not found its group names no members.
    send_update(first);
    wait_until_confirmed(3);
    BOOST_TEST(applied.empty());
    first.replicas = {replica_vm, vm_id("127.0.3.7"), vm_id("127.0.3.8")};
    first.intent_index = 4;
    send_update(first);
    wait_until_confirmed(4);
    BOOST_TEST(applied.empty());
}

BOOST_FIXTURE_TEST_CASE(confirmation_of_older_orders_puts_newer_ones_in_force,
                        client_and_replica)
{
    is_sure = false;
    send_document(5, "[{5}]");
    wait_until_confirmed(5);
    is_sure = true;
    send_document(3, "[{3}]");
    send_document(6, "[{6}]");
    wait_until_confirmed(6);
    BOOST_REQUIRE(applied.size() == 2U);
    BOOST_TEST(applied[0].document == "[{5}]");
}

BOOST_FIXTURE_TEST_CASE(later_orders_need_no_confirmation, client_and_replica)
{
    send_document(3, "[{1}]");
    is_sure = false;
    send_change(4, 3, "[{1}]", "[{1},{2}]");
    wait_until_confirmed(4);
    BOOST_TEST(applied.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(loads_are_exchanged_with_a_replica_in_touch,
                        client_and_replica)
{
    // Any frame makes the replica known as live.
    send_update({});
    run_until(
        [this]
        {
            return !loads_at_replica.empty();
        });
    directory::update update;
    update.loads = directory::load_update{false, false, {{9, 3}}};
    send_update(update);
    run_until(
        [this]
        {
            return !loads_at_client.empty();
        });
    BOOST_TEST(replaced_load_peers == 1);
    BOOST_REQUIRE(loads_at_client[0].changed.size() == 1U);
    BOOST_TEST(loads_at_client[0].changed[0].server == 9U);
    BOOST_TEST(loads_at_client[0].changed[0].requests == 3U);
    BOOST_TEST(loads_at_replica[0].resets);
    BOOST_TEST(loads_at_replica[0].wants_reset);
    BOOST_REQUIRE(loads_at_replica[0].changed.size() == 1U);
    BOOST_TEST(loads_at_replica[0].changed[0].server == 7U);
}

BOOST_FIXTURE_TEST_CASE(routers_are_known_as_the_replica_names_them,
                        client_and_replica)
{
    directory::update update;
    update.is_complete = true;
    update.router_changes = {{vm_id("127.0.3.5"), data_centre_id("a"), false},
                             {vm_id("127.0.3.6"), data_centre_id("b"), false}};
    send_update(update);
    run_until(
        [this]
        {
            return routers.size() == 2;
        });
    update.is_complete = false;
    update.router_changes = {{vm_id("127.0.3.5"), data_centre_id("a"), true}};
    send_update(update);
    run_until(
        [this]
        {
            return routers.size() == 1;
        });
    BOOST_TEST((routers.at(vm_id("127.0.3.6")) == data_centre_id("b")));
}

BOOST_FIXTURE_TEST_CASE(history_is_known_while_most_replicas_are_live,
                        client_and_replica)
{
    BOOST_TEST(client->is_in_touch() == (client->live_replica_count() == 1));
    directory::update update;
    update.history = seconds(30);
    const time_point before = monotonic_clock::now();
    send_update(update);
    run_until(
        [this, before]
        {
            const auto begins_at = client->history_begins_at();
            return begins_at && *begins_at <= before - seconds(20);
        });
    update.replicas = {vm_id("127.0.3.7"), vm_id("127.0.3.8")};
    send_update(update);
    run_until(
        [this]
        {
            return !client->is_in_touch();
        });
    BOOST_TEST(!client->history_begins_at().has_value());
}

// Guards against streams that go on at another version after a restart.
BOOST_FIXTURE_TEST_CASE(
    history_is_unknown_until_a_replica_has_sent_all_registrations,
    client_and_replica)
{
    directory::update part;
    part.routers = 1;
    send_update(part);
    run_until(
        [this]
        {
            return router_count == 1;
        });
    BOOST_TEST(client->is_in_touch());
    BOOST_TEST(!client->history_begins_at().has_value());
}

// Guards against streams that go on at another version after a cut.
BOOST_FIXTURE_TEST_CASE(
    history_is_unknown_while_a_replica_owes_registrations_again,
    client_and_replica)
{
    directory::update update;
    update.history = seconds(30);
    send_update(update);
    run_until(
        [this]
        {
            return client->history_begins_at().has_value();
        });
    update.history = duration::zero();
    update.routers = 1;
    send_update(update);
    run_until(
        [this]
        {
            return router_count == 1;
        });
    BOOST_TEST(!client->history_begins_at().has_value());
}

BOOST_FIXTURE_TEST_CASE(frame_of_another_router_is_passed_on,
                        client_and_replica)
{
    BOOST_REQUIRE(
        is_ok(replica->send(router_vm, wire::channel::origins, "any bytes")));
    run_until(
        [this]
        {
            return !router_frames.empty();
        });
    BOOST_TEST((router_frames.front().first == replica_vm));
    BOOST_TEST(router_frames.front().second == "any bytes");
}

BOOST_FIXTURE_TEST_CASE(
    orders_are_complete_until_the_subscription_that_most_replicas_answered,
    client_and_replica)
{
    send_document(3, "[{1}]");
    wait_until_confirmed(3);
    const time_point asked_at = last_asked_at;
    directory::update answer;
    answer.asked_at = asked_at;
    answer.intent_index = 3;
    answer.replicas = {replica_vm};
    const auto has_orders_after = [this, &answer](time_point since)
    {
        answer.routers += 1;
        send_update(answer);
        run_until(
            [this, &answer]
            {
                return router_count == answer.routers;
            });
        return client->has_orders_until(since);
    };
    BOOST_TEST(!has_orders_after(asked_at));
    answer.is_settled = true;
    BOOST_TEST(has_orders_after(asked_at));
    // However late the answer arrives, it is as old as the question.
    BOOST_TEST(!has_orders_after(asked_at + milliseconds(1)));
    answer.intent_index = 4;
    BOOST_TEST(!has_orders_after(asked_at));
    answer.intent_index = 3;
    answer.replicas = {replica_vm, vm_id("127.0.3.7")};
    BOOST_TEST(!has_orders_after(asked_at));
}

/// Another router besides the replica, simulated by the test.
struct client_replica_and_router : client_and_replica
{
    /// Directory frames that the client sent to the other router.
    std::vector<directory::update> received;
    std::shared_ptr<wire::link_hub> other = open_other();

    ~client_replica_and_router()
    {
        other->close();
    }

    std::shared_ptr<wire::link_hub> open_other()
    {
        wire::link_handlers handlers;
        handlers.on_frame = [this](const wire::link_identity&,
                                   wire::channel,
                                   const std::string& payload)
        {
            auto update =
                directory::decode_update(payload, monotonic_clock::now());
            BOOST_REQUIRE(is_ok(update));
            received.push_back(value_of(std::move(update)));
        };
        handlers.on_lost = [](const vm_id&) {};
        const wire::link_identity identity{
            other_router_vm,
            data_centre_id("north"),
            incarnation(1),
            http::to_string(at(other_router_vm))};
        auto opened = wire::link_hub::listen(
            context, at(other_router_vm), identity, {}, std::move(handlers));
        BOOST_REQUIRE(is_ok(opened));
        value_of(opened)->set_peer(router_vm, at(router_vm));
        return value_of(std::move(opened));
    }

    static directory::update make_document(std::uint64_t index,
                                           std::string_view text)
    {
        directory::update update;
        update.orders.emplace();
        update.intent_index = index;
        update.is_sure = true;
        update.orders->document =
            std::make_shared<const directory::stored_document>(
                std::string(text));
        return update;
    }

    void send_forwarded(std::uint64_t index, std::string_view text)
    {
        const directory::update update =
            make_forwarded_update(make_document(index, text), replica_vm);
        const status sent = other->send(router_vm,
                                        wire::channel::directory,
                                        encode(update, monotonic_clock::now()));
        BOOST_REQUIRE(is_ok(sent));
    }
};

BOOST_FIXTURE_TEST_CASE(orders_are_passed_on_to_the_routers_they_name,
                        client_replica_and_router)
{
    directory::update update = make_document(3, "[{1}]");
    update.forward_to = {other_router_vm};
    send_update(update);
    run_until(
        [this]
        {
            return !received.empty();
        });
    BOOST_TEST(received[0].intent_index == 3U);
    BOOST_TEST(received[0].orders->document->text() == "[{1}]");
    BOOST_TEST((received[0].forwarded_for == replica_vm));
    BOOST_TEST(!received[0].is_sure);
    BOOST_TEST(received[0].forward_to.empty());
}

BOOST_FIXTURE_TEST_CASE(orders_of_another_router_are_confirmed_to_the_replica,
                        client_replica_and_router)
{
    send_document(3, "[{1}]");
    wait_until_confirmed(3);
    send_forwarded(4, "[{1},{2}]");
    wait_until_confirmed(4);
    BOOST_REQUIRE(applied.size() == 2U);
    BOOST_TEST(applied[1].document == "[{1},{2}]");
    BOOST_TEST(client->live_replica_count() == 1U);
    BOOST_TEST(received.empty());
}

BOOST_FIXTURE_TEST_CASE(older_orders_of_another_router_are_ignored,
                        client_replica_and_router)
{
    send_document(3, "[{1}]");
    wait_until_confirmed(3);
    send_forwarded(2, "[{0}]");
    send_forwarded(4, "[{2}]");
    wait_until_confirmed(4);
    BOOST_REQUIRE(applied.size() == 2U);
    BOOST_TEST(applied[1].document == "[{2}]");
}

// Guards against orders in force that were replaced while on their way.
BOOST_FIXTURE_TEST_CASE(first_orders_of_another_router_wait_for_a_confirmation,
                        client_replica_and_router)
{
    send_forwarded(3, "[{1}]");
    wait_until_confirmed(3);
    BOOST_TEST(applied.empty());
    send_document(3, "[{1}]");
    run_until(
        [this]
        {
            return !applied.empty();
        });
    BOOST_TEST(applied[0].document == "[{1}]");
}

BOOST_AUTO_TEST_SUITE_END()
