/// Links to machines that fall silent.

#include "silent_peer.hpp"
#include "socket_options.hpp"

#include <limpet/http/silence.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace limpet;
using namespace limpet::wire;
namespace net = boost::asio;

BOOST_AUTO_TEST_SUITE(silent_links)

BOOST_AUTO_TEST_CASE(link_to_silent_machine_ends_after_its_timeout)
{
    constexpr duration timeout = milliseconds(1000);
    net::io_context context;
    std::vector<std::unique_ptr<http::silent_connection>> links;
    for (const bool with_data : {false, true})
    {
        links.push_back(std::make_unique<http::silent_connection>(context));
        set_link_options(links.back()->near, timeout);
        links.back()->start(with_data);
    }
    const duration idle_end =
        http::end_of_idle_read(http::silence_options_of(links[0]->near));
    http::wait_for_ends(context, links, seconds(10));
    BOOST_TEST_MESSAGE(
        "idle " << to_milliseconds(links[0]->ended_after) << " ms, in flight "
                << to_milliseconds(links[1]->ended_after) << " ms");
    BOOST_TEST((links[0]->failure == net::error::timed_out));
    BOOST_TEST((links[0]->ended_after >= timeout));
    BOOST_TEST((links[0]->ended_after < timeout + milliseconds(1900)));
    BOOST_TEST(to_seconds(idle_end) == 2);
    BOOST_TEST((links[1]->failure == net::error::timed_out));
    BOOST_TEST((links[1]->ended_after >= timeout));
    BOOST_TEST((links[1]->ended_after < timeout + seconds(1)));
}

BOOST_AUTO_TEST_CASE(idle_link_to_silent_machine_is_lost)
{
    net::io_context context;
    net::ip::tcp::acceptor acceptor(context,
                                    {net::ip::address_v4::loopback(), 0});
    std::vector<vm_id> lost;
    link_handlers handlers;
    handlers.on_lost = [&lost](const vm_id& peer)
    {
        lost.push_back(peer);
    };
    link_settings settings;
    settings.silence_timeout = milliseconds(1000);
    const auto opened = link_hub::listen(
        context,
        {net::ip::address_v4::loopback(), 0},
        {vm_id("vm1"), data_centre_id("north"), incarnation(1), ""},
        settings,
        handlers);
    BOOST_REQUIRE(is_ok(opened));
    const auto hub = value_of(opened);
    hub->set_peer(vm_id("vm2"), acceptor.local_endpoint());
    BOOST_TEST(is_ok(hub->send(vm_id("vm2"), channel::control, "last")));

    net::ip::tcp::socket peer(context);
    std::string received;
    bool is_silent = false;
    acceptor.async_accept(
        peer,
        [&](boost::system::error_code)
        {
            // Falls silent once nothing is in flight.
            net::async_read_until(
                peer,
                net::dynamic_buffer(received),
                "last",
                [&](boost::system::error_code failure, std::size_t)
                {
                    is_silent = !failure && http::begin_silence(peer);
                });
        });
    const auto until = std::chrono::steady_clock::now() + seconds(10);
    while (lost.empty() && std::chrono::steady_clock::now() < until)
    {
        context.run_one_until(until);
    }
    BOOST_TEST(is_silent);
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST((lost[0] == vm_id("vm2")));
    hub->close();
    context.run();
}

BOOST_AUTO_TEST_SUITE_END()
