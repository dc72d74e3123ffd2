/// Requests through a gateway to stand-in servers on loopback.

#include "request_run.hpp"

#include <limpet/http/client.hpp>
#include <limpet/http/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>

using namespace limpet;
using namespace limpet::gateway;

namespace net = boost::asio;

namespace
{

/// A protocol with the fewest headers that the gateway needs.
class test_protocol final : public protocol
{
public:
    outcome<directory::plan> read_document(std::string_view) const override
    {
        return error{error_code::malformed, "not used"};
    }

    outcome<call> read_call(const http::request& message) const override
    {
        call result;
        result.id =
            request_id(std::string(message.headers.value_or_empty("I")));
        result.host = "h";
        result.key = message.headers.value_or_empty("K");
        if (result.id.get().empty())
        {
            return error{error_code::malformed, "no id"};
        }
        return result;
    }

    http::request make_forward(const http::request& message,
                               const forward_order& order) const override
    {
        http::request sent = message;
        sent.headers.set("After", std::to_string(order.last_event));
        return sent;
    }

    server_answer read_answer(const http::response_head& head) const override
    {
        server_answer told;
        told.id = request_id(std::string(head.headers.value_or_empty("I")));
        told.has_not_run = head.headers.find("Not-Run") != nullptr;
        return told;
    }

    http::response
    make_refusal(refusal_cause cause,
                 const request_id&,
                 std::optional<duration> come_back) const override
    {
        http::response answer;
        answer.head.status = is_not_run(cause) ? 503 : 502;
        answer.body = to_string(cause);
        if (come_back)
        {
            answer.head.headers.set("Come-Back", "1");
        }
        return answer;
    }

    bool asks_readiness(const http::request&) const override
    {
        return false;
    }
};

using handler = http::server::handler;

net::awaitable<void> answer_whole(http::exchange& caller)
{
    http::response answer;
    answer.head.headers.set("I", caller.received().headers.value_or_empty("I"));
    answer.body = "whole";
    co_await caller.respond(std::move(answer));
}

net::awaitable<void> answer_status(http::exchange& caller, unsigned status)
{
    http::response answer;
    answer.head.status = status;
    answer.head.headers.set("I", caller.received().headers.value_or_empty("I"));
    co_await caller.respond(std::move(answer));
}

net::awaitable<void> answer_not_run(http::exchange& caller)
{
    http::response answer;
    answer.head.status = 503;
    answer.head.headers.set("Not-Run", "1");
    co_await caller.respond(std::move(answer));
}

net::awaitable<void> answer_other_id(http::exchange& caller)
{
    http::response answer;
    answer.head.headers.set("I", "another");
    answer.body = "not yours";
    co_await caller.respond(std::move(answer));
}

net::awaitable<void> break_off(http::exchange& caller)
{
    caller.cut_off();
    co_return;
}

std::string event_text(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// Sends the events after the one that the caller has, up to the last; cut
/// off there unless the stream is whole.
net::awaitable<void> stream_events(http::exchange& caller, int last, bool whole)
{
    http::response_head head;
    head.headers.set("I", caller.received().headers.value_or_empty("I"));
    const int after = std::stoi(
        std::string(caller.received().headers.value_or_empty("After")));
    co_await caller.begin_stream(std::move(head));
    for (int i = after + 1; i <= last; ++i)
    {
        co_await caller.write(event_text(i));
    }
    if (whole)
    {
        co_await caller.end_stream();
    }
    else
    {
        co_await caller.write("id: 99\nda");
        caller.cut_off();
    }
}

struct gateway_with_servers
{
    net::io_context context;
    test_protocol language;
    gateway_state state{language,
                        server_pool(data_centre_id("z")),
                        {},
                        http::client::create({}),
                        nullptr,
                        1.0,
                        monotonic_clock::now(),
                        {},
                        {},
                        false};
    std::vector<std::unique_ptr<http::server>> servers;
    std::vector<int> seen;
    std::vector<std::string> results;
    std::unique_ptr<http::server> front;
    std::shared_ptr<http::client> caller = http::client::create({});

    gateway_with_servers()
    {
        front = listen(
            [this](http::exchange& each) -> net::awaitable<void>
            {
                request_run request(state, each);
                co_await request.run();
            });
    }

    ~gateway_with_servers()
    {
        front->close();
        for (const auto& each : servers)
        {
            each->close();
        }
        while (front->connection_count() > 0)
        {
            context.run_one();
        }
        context.poll();
    }

    std::unique_ptr<http::server> listen(handler handle)
    {
        auto opened = http::server::listen(context,
                                           {net::ip::address_v4::loopback(), 0},
                                           {},
                                           std::move(handle));
        return value_of(std::move(opened));
    }

    void add_server(const handler& handle, std::uint32_t slots = 8)
    {
        const std::size_t number = servers.size();
        seen.push_back(0);
        servers.push_back(listen(
            [this, number, handle](http::exchange& each) -> net::awaitable<void>
            {
                ++seen[number];
                co_await handle(each);
            }));
        directory::registration row;
        row.id = engine_id("i-" + std::to_string(number));
        row.service = "s";
        row.data_centre = data_centre_id("z");
        row.address = "127.0.0.1:" +
                      std::to_string(servers.back()->local_endpoint().port());
        row.slots = slots;
        row.state = directory::server_state::ready;
        state.pool.apply(row);
    }

    void set_route(directory::request_kind kind, unsigned attempts = 3)
    {
        directory::plan plan;
        directory::route route;
        route.host = "h";
        route.prefix = "/";
        route.kind = kind;
        route.attempts = attempts;
        route.services = {{"s", 1}};
        plan.routes = {route};
        plan.services["s"].name = "s";
        plan.tenants = {{"t", {"key"}, {}}};
        state.plan =
            std::make_shared<const directory::route_table>(std::move(plan));
        state.pool.set_plan(state.plan);
    }

    net::awaitable<void> fetch(std::size_t number)
    {
        http::request message;
        message.method = "POST";
        message.target = "/x";
        message.headers.set("I", "r" + std::to_string(number));
        message.headers.set("K", "key");
        auto got = co_await caller->fetch(
            front->local_endpoint(), message, seconds(20), 1 << 20);
        if (auto* answer = std::get_if<http::response>(&got))
        {
            results.push_back(std::to_string(answer->head.status) + " " +
                              answer->body);
        }
        else
        {
            results.emplace_back("cut");
        }
    }

    const std::vector<std::string>& run(std::size_t count = 1)
    {
        results.clear();
        for (std::size_t i = 0; i < count; ++i)
        {
            net::co_spawn(context, fetch(i), net::detached);
        }
        while (results.size() < count)
        {
            context.run_one();
        }
        return results;
    }

    int total_seen() const
    {
        int sum = 0;
        for (const int each : seen)
        {
            sum += each;
        }
        return sum;
    }
};

handler with_status(unsigned status)
{
    return [status](http::exchange& caller)
    {
        return answer_status(caller, status);
    };
}

handler with_events(int last, bool whole)
{
    return [last, whole](http::exchange& caller)
    {
        return stream_events(caller, last, whole);
    };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_runs, gateway_with_servers)

BOOST_AUTO_TEST_CASE(answer_is_passed_on)
{
    set_route(directory::request_kind::single);
    add_server(answer_whole);
    BOOST_TEST(run().front() == "200 whole");
}

BOOST_AUTO_TEST_CASE(burst_on_idle_servers_is_served_whole)
{
    set_route(directory::request_kind::single);
    add_server(answer_whole, 4);
    add_server(answer_whole, 4);
    for (const std::string& each : run(20))
    {
        BOOST_TEST(each == "200 whole");
    }
    BOOST_TEST(total_seen() == 20);
}

BOOST_AUTO_TEST_CASE(single_request_that_may_have_run_is_not_sent_again)
{
    set_route(directory::request_kind::single);
    add_server(break_off);
    add_server(break_off);
    BOOST_TEST(run().front() == "502 failed");
    BOOST_TEST(total_seen() == 1);
}

BOOST_AUTO_TEST_CASE(single_request_that_did_not_run_is_sent_elsewhere)
{
    set_route(directory::request_kind::single);
    add_server(answer_not_run);
    add_server(answer_not_run);
    add_server(answer_not_run);
    add_server(answer_not_run);
    BOOST_TEST(run().front() == "503 not_run");
    BOOST_TEST(total_seen() == 3);
}

BOOST_AUTO_TEST_CASE(repeatable_request_is_sent_again_until_it_is_answered)
{
    set_route(directory::request_kind::repeatable, 4);
    add_server(break_off);
    add_server(with_status(500));
    add_server(answer_not_run);
    add_server(answer_whole);
    BOOST_TEST(run().front() == "200 whole");
}

BOOST_AUTO_TEST_CASE(failure_of_the_server_is_passed_on_when_none_does_better)
{
    set_route(directory::request_kind::repeatable, 2);
    add_server(with_status(500));
    add_server(with_status(500));
    add_server(with_status(500));
    BOOST_TEST(run().front() == "500 ");
    BOOST_TEST(total_seen() == 2);
}

BOOST_AUTO_TEST_CASE(answer_to_another_request_is_not_passed_on)
{
    set_route(directory::request_kind::single);
    add_server(answer_other_id);
    BOOST_TEST(run().front() == "502 failed");
}

BOOST_AUTO_TEST_CASE(stream_goes_on_at_another_server_without_a_gap)
{
    set_route(directory::request_kind::resumable_stream);
    add_server(with_events(2, false));
    add_server(with_events(2, false));
    add_server(with_events(4, true));
    const std::string whole =
        event_text(1) + event_text(2) + event_text(3) + event_text(4);
    const std::string got = run().front();
    BOOST_TEST(got == "200 " + whole);
}

BOOST_AUTO_TEST_CASE(stream_that_may_not_resume_is_cut_visibly)
{
    set_route(directory::request_kind::stream);
    add_server(with_events(2, false));
    add_server(with_events(2, false));
    BOOST_TEST(run().front() == "cut");
    BOOST_TEST(total_seen() == 1);
}

BOOST_AUTO_TEST_CASE(gateway_that_ends_refuses_with_a_time_to_return)
{
    set_route(directory::request_kind::single);
    add_server(answer_whole);
    state.is_ending = true;
    BOOST_TEST(run().front() == "503 shutting_down");
    BOOST_TEST(total_seen() == 0);
}

BOOST_AUTO_TEST_CASE(gateway_without_a_configuration_refuses_at_once)
{
    state.started_at -= seconds(5);
    const time_point begun = monotonic_clock::now();
    BOOST_TEST(run().front() == "503 no_plan");
    BOOST_TEST((monotonic_clock::now() - begun < seconds(1)));
}

BOOST_AUTO_TEST_CASE(request_without_any_server_is_refused_at_once)
{
    state.started_at -= seconds(5);
    set_route(directory::request_kind::single);
    const time_point begun = monotonic_clock::now();
    BOOST_TEST(run().front() == "503 no_server");
    BOOST_TEST((monotonic_clock::now() - begun < milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(request_just_after_the_start_waits_for_the_configuration)
{
    add_server(answer_whole);
    net::post(context,
              [this]
              {
                  net::co_spawn(context, fetch(0), net::detached);
              });
    while (state.queue.size() == 0)
    {
        context.run_one();
    }
    set_route(directory::request_kind::single);
    state.queue.wake_all();
    while (results.empty())
    {
        context.run_one();
    }
    BOOST_TEST(results.front() == "200 whole");
}

BOOST_AUTO_TEST_CASE(request_just_after_the_start_waits_for_a_server)
{
    set_route(directory::request_kind::single);
    net::co_spawn(context, fetch(0), net::detached);
    while (state.queue.size() == 0)
    {
        context.run_one();
    }
    add_server(answer_whole);
    state.queue.wake_all();
    while (results.empty())
    {
        context.run_one();
    }
    BOOST_TEST(results.front() == "200 whole");
}

BOOST_AUTO_TEST_CASE(wait_for_the_configuration_ends_in_a_refusal)
{
    const time_point begun = monotonic_clock::now();
    BOOST_TEST(run().front() == "503 no_plan");
    BOOST_TEST((monotonic_clock::now() - begun < milliseconds(600)));
}

BOOST_AUTO_TEST_SUITE_END()
