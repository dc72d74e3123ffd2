#include "hello.hpp"

#include <limpet/http/endpoint.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace limpet;
using namespace limpet::wire;
namespace net = boost::asio;

namespace
{

const net::ip::tcp::endpoint any_port(net::ip::make_address("127.0.0.1"), 0);

struct received_frame
{
    std::string vm;
    channel kind;
    std::string payload;
};

/// Two hubs on one thread. run_until runs the event loop until a condition
/// holds.
struct link_hub_fixture
{
    net::io_context context;
    std::vector<received_frame> frames;
    std::vector<std::string> lost;
    link_settings settings;
    std::shared_ptr<link_hub> sender_hub = open("vm1");
    std::shared_ptr<link_hub> receiver_hub = open("vm2");

    ~link_hub_fixture()
    {
        sender_hub->close();
        receiver_hub->close();
        context.run();
    }

    std::shared_ptr<link_hub> open(const std::string& name)
    {
        link_handlers handlers;
        handlers.on_frame =
            [this](const link_identity& from, channel kind, std::string payload)
        {
            frames.push_back({from.vm.get(), kind, std::move(payload)});
        };
        handlers.on_lost = [this](const vm_id& peer)
        {
            lost.push_back(peer.get());
        };
        auto hub = link_hub::listen(
            context,
            any_port,
            {vm_id(name), data_centre_id("north"), incarnation(1), ""},
            settings,
            handlers);
        BOOST_REQUIRE(is_ok(hub));
        return value_of(hub);
    }

    void connect()
    {
        sender_hub->set_peer(
            receiver_hub->self().vm,
            value_of(http::parse_endpoint(receiver_hub->self().address)));
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        while (!condition())
        {
            context.run_one();
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_hub_suite, link_hub_fixture)

BOOST_AUTO_TEST_CASE(hub_frames_to_peer_arrive_in_order_with_sender)
{
    connect();
    for (int i = 0; i < 100; ++i)
    {
        const auto sent = sender_hub->send(
            vm_id("vm2"), channel::exchange, std::to_string(i));
        BOOST_REQUIRE(is_ok(sent));
    }
    run_until(
        [&]
        {
            return frames.size() == 100;
        });
    for (std::size_t i = 0; i < frames.size(); ++i)
    {
        BOOST_TEST(frames[i].payload == std::to_string(i));
        BOOST_TEST(frames[i].vm == "vm1");
    }
    BOOST_TEST(receiver_hub->counters().received_frames(channel::exchange) ==
               100U);
}

BOOST_AUTO_TEST_CASE(hub_frame_to_self_is_delivered)
{
    BOOST_TEST(is_ok(sender_hub->send(vm_id("vm1"), channel::control, "x")));
    run_until(
        [&]
        {
            return !frames.empty();
        });
    BOOST_TEST(frames[0].payload == "x");
}

BOOST_AUTO_TEST_CASE(hub_frame_to_unknown_peer_is_refused)
{
    const auto sent = sender_hub->send(vm_id("vm9"), channel::control, "x");
    BOOST_REQUIRE(!is_ok(sent));
    BOOST_TEST((error_of(sent).code == error_code::unavailable));
}

BOOST_AUTO_TEST_CASE(hub_peer_that_cannot_be_reached_is_reported_lost)
{
    connect();
    receiver_hub->close();
    run_until(
        [&]
        {
            sender_hub->send(vm_id("vm2"), channel::control, "x");
            return !lost.empty();
        });
    BOOST_TEST(lost[0] == "vm2");
}

BOOST_AUTO_TEST_CASE(hub_connection_without_hello_is_closed)
{
    settings.hello_timeout = milliseconds(1);
    receiver_hub->close();
    receiver_hub = open("vm3");
    net::ip::tcp::socket silent(context);
    silent.connect(
        value_of(http::parse_endpoint(receiver_hub->self().address)));
    bool is_closed = false;
    std::array<char, 1> byte{};
    silent.async_read_some(net::buffer(byte),
                           [&](boost::system::error_code failure, std::size_t)
                           {
                               is_closed = failure == net::error::eof;
                           });
    run_until(
        [&]
        {
            return is_closed;
        });
}

BOOST_AUTO_TEST_CASE(hub_takes_peers_while_silent_connections_fill_it)
{
    settings.max_incoming = 2;
    receiver_hub->close();
    receiver_hub = open("vm2");
    std::vector<net::ip::tcp::socket> silent;
    for (int i = 0; i < 6; ++i)
    {
        silent.emplace_back(context).connect(
            value_of(http::parse_endpoint(receiver_hub->self().address)));
    }
    connect();
    BOOST_TEST(is_ok(sender_hub->send(vm_id("vm2"), channel::control, "x")));
    run_until(
        [&]
        {
            return !frames.empty();
        });
    BOOST_TEST(frames[0].payload == "x");
}

BOOST_AUTO_TEST_CASE(hub_hello_beyond_its_limit_is_refused)
{
    net::ip::tcp::socket peer(context);
    peer.connect(value_of(http::parse_endpoint(receiver_hub->self().address)));
    const frame_header header =
        encode_frame_header(channel::hello, settings.max_payload_bytes);
    net::write(peer, net::buffer(header));
    bool is_closed = false;
    std::array<char, 1> byte{};
    peer.async_read_some(net::buffer(byte),
                         [&](boost::system::error_code failure, std::size_t)
                         {
                             is_closed = failure.failed();
                         });
    run_until(
        [&]
        {
            return is_closed;
        });
}

BOOST_AUTO_TEST_CASE(hub_large_frames_arrive_whole_within_little_memory)
{
    settings.max_total_received_bytes = 2UL * 1024 * 1024;
    receiver_hub->close();
    receiver_hub = open("vm2");
    connect();
    for (int i = 0; i < 8; ++i)
    {
        const std::string payload(1024UL * 1024, static_cast<char>('a' + i));
        BOOST_TEST(
            is_ok(sender_hub->send(vm_id("vm2"), channel::exchange, payload)));
        sender_hub->send(vm_id("vm2"), channel::exchange, "small");
    }
    run_until(
        [&]
        {
            return frames.size() == 16;
        });
    for (std::size_t i = 0; i < frames.size(); i += 2)
    {
        BOOST_TEST(frames[i].payload.size() == 1024UL * 1024);
        BOOST_TEST(frames[i].payload.back() == static_cast<char>('a' + i / 2));
        BOOST_TEST(frames[i + 1].payload == "small");
    }
}

/// A peer that stops within a frame would keep the memory of others.
BOOST_AUTO_TEST_CASE(hub_frame_that_stalls_yields_its_memory)
{
    settings.max_total_received_bytes = 2UL * 1024 * 1024;
    receiver_hub->close();
    receiver_hub = open("vm2");
    net::ip::tcp::socket stalled(context);
    stalled.connect(
        value_of(http::parse_endpoint(receiver_hub->self().address)));
    std::string bytes;
    append_frame(
        bytes,
        channel::hello,
        encode_hello({vm_id("vm9"), data_centre_id("n"), incarnation(1), ""}));
    const frame_header header =
        encode_frame_header(channel::exchange, settings.max_payload_bytes);
    bytes.append(header.data(), header.size());
    bytes.append(1024UL * 1024, 'x');
    bool is_written = false;
    net::async_write(stalled,
                     net::buffer(bytes),
                     [&](boost::system::error_code, std::size_t)
                     {
                         is_written = true;
                     });
    run_until(
        [&]
        {
            return is_written;
        });
    connect();
    run_until(
        [&]
        {
            // The first ones may find no room, which ends the link.
            sender_hub->send(vm_id("vm2"),
                             channel::exchange,
                             std::string(1024UL * 1024, 'y'));
            return !frames.empty();
        });
    BOOST_TEST(frames[0].payload.front() == 'y');
}

BOOST_AUTO_TEST_CASE(hub_data_for_all_peers_together_is_bounded)
{
    settings.max_total_queued_bytes = 150UL * 1024;
    sender_hub->close();
    sender_hub = open("vm1");
    connect();
    const std::string payload(100UL * 1024, 'x');
    BOOST_TEST(
        is_ok(sender_hub->send(vm_id("vm2"), channel::exchange, payload)));
    const auto refused =
        sender_hub->send(vm_id("vm2"), channel::exchange, payload);
    BOOST_REQUIRE(!is_ok(refused));
    BOOST_TEST((error_of(refused).code == error_code::overloaded));
    BOOST_TEST(
        is_ok(sender_hub->send(vm_id("vm2"), channel::control, payload)));
    BOOST_TEST(
        is_ok(sender_hub->send(vm_id("vm2"), channel::exchange, "small")));
    run_until(
        [&]
        {
            return frames.size() == 3;
        });
    run_until(
        [&]
        {
            return is_ok(
                sender_hub->send(vm_id("vm2"), channel::exchange, payload));
        });
}

BOOST_AUTO_TEST_CASE(hub_connection_with_malformed_bytes_harms_no_other)
{
    net::ip::tcp::socket raw_socket(context);
    raw_socket.connect(
        value_of(http::parse_endpoint(receiver_hub->self().address)));
    net::write(raw_socket, net::buffer(std::string(100, '\xff')));
    bool closed = false;
    char unused = 0;
    raw_socket.async_read_some(
        net::buffer(&unused, 1),
        [&](boost::system::error_code failure, std::size_t)
        {
            closed = static_cast<bool>(failure);
        });
    connect();
    sender_hub->send(vm_id("vm2"), channel::control, "good");
    run_until(
        [&]
        {
            return closed && !frames.empty();
        });
    BOOST_TEST(frames[0].payload == "good");
}

BOOST_AUTO_TEST_SUITE_END()
