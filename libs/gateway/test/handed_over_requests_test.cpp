/// Requests that a router without a way to the servers hands over to another.

#include "gateway_with_servers.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace net = boost::asio;

namespace
{

using directory::request_kind;

constexpr int last_event = 3;

std::string all_events()
{
    std::string text;
    for (int number = 1; number <= last_event; ++number)
    {
        text += event_text(number);
    }
    return text;
}

http::server::handler with_body(std::string body)
{
    return [body = std::move(body)](
               http::exchange& received) -> net::awaitable<void>
    {
        http::response answer;
        answer.head.headers.set(
            "I", received.received().headers.value_or_empty("I"));
        answer.body = body;
        co_await received.respond(std::move(answer));
    };
}

/// The gateway of the base reaches no server. Another one, "other", has the
/// same servers and reaches them; a third, "far", of another data centre, none.
struct cut_off_gateway : gateway_with_servers
{
    gateway_state other{codec,
                        server_pool(data_centre_id("z")),
                        {},
                        make_client(),
                        nullptr,
                        1.0,
                        monotonic_clock::now(),
                        {},
                        {},
                        {},
                        false,
                        make_origins(),
                        make_quarantine()};
    /// Requests that were handed over to each router, by its name.
    std::map<vm_id, int> handed_over;
    /// Whether the routers have memory for requests of others, and the bytes
    /// of the last one.
    bool has_memory = true;
    std::size_t claimed_bytes = 0;
    /// Sockets that are bound and do not listen.
    std::vector<net::ip::tcp::socket> closed;
    /// Frames from the other router are dropped.
    bool is_link_silent = false;

    cut_off_gateway()
    {
        state.started_at -= seconds(5);
        other.started_at -= seconds(5);
        state.handover = make_handover("self", "other", state, other);
        other.handover = make_handover("other", "self", other, state);
        state.handover->set_routers({{vm_id("other"), data_centre_id("z")},
                                     {vm_id("far"), data_centre_id("y")}});
        other.handover->set_routers({{vm_id("self"), data_centre_id("z")}});
    }

    ~cut_off_gateway()
    {
        while (other.handover->served_count() > 0)
        {
            context.run_one();
        }
    }

    std::unique_ptr<handover_service> make_handover(const std::string& self,
                                                    const std::string& peer,
                                                    gateway_state& own,
                                                    gateway_state& to)
    {
        handover_callbacks callbacks;
        callbacks.send = [this, self, peer, &to](const vm_id& router,
                                                 std::string payload) -> status
        {
            const auto sent = pipeline::decode_exchange_message(payload);
            BOOST_REQUIRE(is_ok(sent));
            handed_over[router] +=
                std::holds_alternative<pipeline::hand_over_message>(
                    value_of(sent).content);
            if (router != vm_id(peer))
            {
                return error{error_code::unavailable, "no such router"};
            }
            net::post(context,
                      [this, self, &to, payload = std::move(payload)]
                      {
                          if (!is_link_silent || self == "self")
                          {
                              to.handover->receive(vm_id(self), payload);
                          }
                      });
            return success();
        };
        callbacks.serve = [&own](http::exchange& received,
                                 duration time_left) -> net::awaitable<bool>
        {
            request_handler request(own, received, time_left);
            co_await request.run();
            co_return !request.is_unserved();
        };
        callbacks.claim_memory = [this](std::size_t bytes)
        {
            claimed_bytes = bytes;
            return has_memory ? std::make_shared<int>() : nullptr;
        };
        return std::make_unique<handover_service>(
            context, vm_id(self), data_centre_id("z"), std::move(callbacks));
    }

    /// Returns an address where nothing listens. Keeps it, as a server of the
    /// test could get it otherwise.
    net::ip::tcp::endpoint closed_endpoint()
    {
        return closed
            .emplace_back(
                context,
                net::ip::tcp::endpoint(net::ip::address_v4::loopback(), 0))
            .local_endpoint();
    }

    /// Adds servers that only the other gateway reaches.
    void
    add_servers_of_other(const http::server::handler& handle,
                         std::size_t count = reach_tracker::unreached_servers)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            add_server(handle);
            directory::registration row;
            row.id = engine_id("i-" + std::to_string(servers.size() - 1));
            row.service = "s";
            row.data_centre = data_centre_id("z");
            row.address =
                "127.0.0.1:" +
                std::to_string(servers.back()->local_endpoint().port());
            row.slots = 8;
            row.version = "v1";
            other.pool.apply(row, monotonic_clock::now());
            register_server(row.id.get(), closed_endpoint(), row.slots);
        }
    }

    void set_routes(request_kind kind)
    {
        set_route(kind);
        other.plan = state.plan;
        other.pool.set_plan(other.plan);
    }

    int handed_over_to(const std::string& router)
    {
        return handed_over[vm_id(router)];
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(handed_over_requests, cut_off_gateway)

BOOST_AUTO_TEST_CASE(request_of_cut_off_router_is_served_by_another_once)
{
    add_servers_of_other(with_body("whole"));
    for (const auto kind : {request_kind::single, request_kind::repeatable})
    {
        set_routes(kind);
        const int before = total_requests();
        BOOST_TEST(run().front() == "200 whole");
        BOOST_TEST(total_requests() == before + 1);
    }
}

BOOST_AUTO_TEST_CASE(stream_of_cut_off_router_is_served_by_another)
{
    add_servers_of_other(with_events(last_event, true));
    for (const auto kind :
         {request_kind::stream, request_kind::resumable_stream})
    {
        set_routes(kind);
        BOOST_TEST(run().front() == "200 " + all_events());
    }
}

BOOST_AUTO_TEST_CASE(stream_that_breaks_off_at_another_router_is_cut_off)
{
    add_servers_of_other(with_events(last_event, false));
    set_routes(request_kind::stream);
    BOOST_TEST(run().front() == "cut");
}

BOOST_AUTO_TEST_CASE(response_longer_than_the_credit_arrives_whole)
{
    const std::string body(3 * handover_credit_bytes + 1, 'x');
    add_servers_of_other(with_body(body));
    set_routes(request_kind::single);
    BOOST_TEST((run().front() == "200 " + body));
}

BOOST_AUTO_TEST_CASE(requests_skip_the_servers_once_the_service_is_cut_off)
{
    add_servers_of_other(with_body("whole"));
    set_routes(request_kind::single);
    run();
    BOOST_TEST(state.reach.is_cut_off("s"));
    BOOST_TEST(run(5).size() == 5U);
    BOOST_TEST(results.back() == "200 whole");
    BOOST_TEST(handed_over_to("other") == 6);
}

BOOST_AUTO_TEST_CASE(router_that_reaches_a_server_again_serves_itself)
{
    add_server(with_body("reached"));
    set_routes(request_kind::repeatable);
    const time_point lost_at =
        monotonic_clock::now() - reach_tracker::trial_interval;
    for (std::size_t i = 0; i < reach_tracker::unreached_servers; ++i)
    {
        state.reach.on_unreached("s", engine_id(std::to_string(i)), lost_at);
    }
    state.reach.on_reached("s", engine_id("earlier"), lost_at);
    BOOST_TEST(state.reach.is_cut_off("s"));
    BOOST_TEST(run().front() == "200 reached");
    BOOST_TEST(!state.reach.is_cut_off("s"));
    BOOST_TEST(handed_over.empty());
}

BOOST_AUTO_TEST_CASE(request_that_no_router_can_serve_is_refused_as_not_run)
{
    register_server("i-0", closed_endpoint(), 8);
    set_routes(request_kind::single);
    BOOST_TEST(run().front().substr(0, 3) == "503");
    BOOST_TEST(handed_over_to("other") == 1);
    BOOST_TEST(handed_over_to("far") == 1);
    // Neither is asked again at once, nor does the other one hand it back.
    BOOST_TEST(run().front().substr(0, 3) == "503");
    BOOST_TEST(handed_over_to("other") == 1);
    BOOST_TEST(handed_over_to("self") == 0);
}

BOOST_AUTO_TEST_CASE(request_without_memory_at_another_router_has_not_run)
{
    add_servers_of_other(with_body("reached"));
    set_routes(request_kind::single);
    has_memory = false;
    BOOST_TEST(run().front().substr(0, 3) == "503");
    BOOST_TEST(handed_over_to("other") == 1);
    BOOST_TEST(claimed_bytes > 0U);
}

/// A router without room for one request takes smaller ones, and the next.
BOOST_AUTO_TEST_CASE(router_that_had_no_memory_is_asked_again_at_once)
{
    add_servers_of_other(with_body("reached"));
    set_routes(request_kind::single);
    has_memory = false;
    run();
    has_memory = true;
    BOOST_TEST(run().front() == "200 reached");
    BOOST_TEST(handed_over_to("other") == 2);
}

BOOST_AUTO_TEST_CASE(service_without_servers_is_not_handed_over)
{
    set_routes(request_kind::single);
    BOOST_TEST(run().front().substr(0, 3) == "503");
    BOOST_TEST(handed_over.empty());
}

BOOST_AUTO_TEST_CASE(refusal_of_the_other_router_reaches_the_caller)
{
    const auto refuse = [](http::exchange& received) -> net::awaitable<void>
    {
        http::response answer;
        answer.head.status = 503;
        answer.head.headers.set("Not-Run", "1");
        answer.head.headers.set("Closed", "5");
        co_await received.respond(std::move(answer));
    };
    add_servers_of_other(refuse);
    set_routes(request_kind::single);
    BOOST_TEST(run().front().substr(0, 3) == "503");
    BOOST_TEST(handed_over_to("other") == 1);
    BOOST_TEST(handed_over_to("far") == 0);
}

BOOST_AUTO_TEST_CASE(request_may_have_run_if_the_link_is_lost_after_it_was_sent)
{
    is_link_silent = true;
    add_servers_of_other(with_body("whole"));
    set_routes(request_kind::single);
    net::steady_timer loss(context);
    loss.expires_after(milliseconds(300));
    loss.async_wait(
        [this](boost::system::error_code)
        {
            state.handover->on_lost(vm_id("other"));
        });
    BOOST_TEST(run().front() == "502 failed");
    BOOST_TEST(total_requests() == 1);
    BOOST_TEST(handed_over_to("far") == 0);
}

/// Guards against callers that get 502 for a request that may be repeated,
/// and against a promise that it has not run, which nobody can give.
BOOST_AUTO_TEST_CASE(
    repeatable_request_goes_to_another_router_after_a_lost_link)
{
    is_link_silent = true;
    add_servers_of_other(with_body("whole"));
    set_routes(request_kind::repeatable);
    net::steady_timer loss(context);
    loss.expires_after(milliseconds(300));
    loss.async_wait(
        [this](boost::system::error_code)
        {
            state.handover->on_lost(vm_id("other"));
        });
    BOOST_TEST(run().front() == "502 failed");
    BOOST_TEST(total_requests() == 1);
    BOOST_TEST(handed_over_to("far") == 1);
}

BOOST_AUTO_TEST_CASE(request_ends_at_the_other_router_when_the_link_is_lost)
{
    bool has_ended = false;
    add_servers_of_other(
        [this, &has_ended](http::exchange& received) -> net::awaitable<void>
        {
            net::steady_timer end(context);
            end.expires_after(seconds(20));
            received.on_caller_gone(
                [&has_ended, &end]
                {
                    has_ended = true;
                    end.cancel();
                });
            net::post(context,
                      [this]
                      {
                          other.handover->on_lost(vm_id("self"));
                          state.handover->on_lost(vm_id("other"));
                      });
            boost::system::error_code ignored;
            co_await end.async_wait(
                net::redirect_error(net::use_awaitable, ignored));
            received.cut_off();
        });
    set_routes(request_kind::single);
    BOOST_TEST(run().front() == "502 failed");
    while (!has_ended)
    {
        context.run_one();
    }
    BOOST_TEST(total_requests() == 1);
}

BOOST_AUTO_TEST_CASE(router_that_has_not_reached_a_server_takes_no_requests)
{
    add_servers_of_other(with_body("whole"));
    set_routes(request_kind::single);
    other.reach.on_unreached("s", engine_id("i-9"), monotonic_clock::now());
    BOOST_TEST(run().front().substr(0, 3) == "503");
    BOOST_TEST(total_requests() == 0);
    BOOST_TEST(handed_over_to("far") == 1);
}

// Guards against more attempts than the route has.
BOOST_AUTO_TEST_CASE(request_that_was_handed_over_is_attempted_once)
{
    add_servers_of_other(
        [](http::exchange& received) -> net::awaitable<void>
        {
            received.cut_off();
            co_return;
        });
    set_routes(request_kind::repeatable);
    BOOST_TEST(run().front() == "502 failed");
    BOOST_TEST(total_requests() == 1);
}

BOOST_AUTO_TEST_CASE(router_that_shuts_down_takes_no_requests_of_others)
{
    add_servers_of_other(with_body("whole"));
    set_routes(request_kind::single);
    other.is_shutting_down = true;
    BOOST_TEST(run().front().substr(0, 3) == "503");
    BOOST_TEST(total_requests() == 0);
    BOOST_TEST(handed_over_to("far") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
