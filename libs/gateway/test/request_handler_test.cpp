/// Requests through a request_handler to test servers on loopback.

#include "request_handler.hpp"

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

/// Protocol with only the headers that the tests need: "I" carries the request
/// id, "K" the API key, "After" the last event, and "Not-Run" marks a refusal.
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
        server_answer fields;
        fields.id = request_id(std::string(head.headers.value_or_empty("I")));
        fields.has_not_run = head.headers.find("Not-Run") != nullptr;
        return fields;
    }

    http::response
    make_refusal(refusal_cause cause,
                 const request_id&,
                 std::optional<duration> retry_after) const override
    {
        http::response answer;
        answer.head.status = is_not_run(cause) ? 503 : 502;
        answer.body = to_string(cause);
        if (retry_after)
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

net::awaitable<void> answer_completely(http::exchange& caller)
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

net::awaitable<void> cut_off_without_response(http::exchange& caller)
{
    caller.cut_off();
    co_return;
}

std::string event_text(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// Streams the events after the one named by the header "After" up to `last`,
/// then ends the stream, or cuts it off within the next event.
net::awaitable<void>
stream_events(http::exchange& caller, int last, bool is_complete)
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
    if (is_complete)
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
    test_protocol codec;
    gateway_state state{codec,
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
    std::vector<int> request_counts;
    std::vector<std::string> results;
    std::unique_ptr<http::server> gateway_server;
    std::shared_ptr<http::client> caller = http::client::create({});

    gateway_with_servers()
    {
        gateway_server = listen(
            [this](http::exchange& each) -> net::awaitable<void>
            {
                request_handler request(state, each);
                co_await request.run();
            });
    }

    ~gateway_with_servers()
    {
        gateway_server->close();
        for (const auto& each : servers)
        {
            each->close();
        }
        while (gateway_server->connection_count() > 0)
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
        request_counts.push_back(0);
        servers.push_back(listen(
            [this, number, handle](http::exchange& each) -> net::awaitable<void>
            {
                ++request_counts[number];
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
        auto result = co_await caller->fetch(
            gateway_server->local_endpoint(), message, seconds(20), 1 << 20);
        if (auto* answer = std::get_if<http::response>(&result))
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

    int total_requests() const
    {
        int sum = 0;
        for (const int each : request_counts)
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

handler with_events(int last, bool is_complete)
{
    return [last, is_complete](http::exchange& caller)
    {
        return stream_events(caller, last, is_complete);
    };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_handling, gateway_with_servers)

BOOST_AUTO_TEST_CASE(response_is_forwarded)
{
    set_route(directory::request_kind::single);
    add_server(answer_completely);
    BOOST_TEST(run().front() == "200 whole");
}

BOOST_AUTO_TEST_CASE(burst_on_idle_servers_is_served_completely)
{
    set_route(directory::request_kind::single);
    add_server(answer_completely, 4);
    add_server(answer_completely, 4);
    for (const std::string& each : run(20))
    {
        BOOST_TEST(each == "200 whole");
    }
    BOOST_TEST(total_requests() == 20);
}

BOOST_AUTO_TEST_CASE(single_request_that_may_have_run_is_not_sent_again)
{
    set_route(directory::request_kind::single);
    add_server(cut_off_without_response);
    add_server(cut_off_without_response);
    BOOST_TEST(run().front() == "502 failed");
    BOOST_TEST(total_requests() == 1);
}

BOOST_AUTO_TEST_CASE(single_request_that_did_not_run_is_sent_elsewhere)
{
    set_route(directory::request_kind::single);
    add_server(answer_not_run);
    add_server(answer_not_run);
    add_server(answer_not_run);
    add_server(answer_not_run);
    BOOST_TEST(run().front() == "503 not_run");
    BOOST_TEST(total_requests() == 3);
}

BOOST_AUTO_TEST_CASE(repeatable_request_is_sent_again_until_it_is_answered)
{
    set_route(directory::request_kind::repeatable, 4);
    add_server(cut_off_without_response);
    add_server(with_status(500));
    add_server(answer_not_run);
    add_server(answer_completely);
    BOOST_TEST(run().front() == "200 whole");
}

BOOST_AUTO_TEST_CASE(error_response_is_forwarded_when_no_attempt_succeeds)
{
    set_route(directory::request_kind::repeatable, 2);
    add_server(with_status(500));
    add_server(with_status(500));
    add_server(with_status(500));
    BOOST_TEST(run().front() == "500 ");
    BOOST_TEST(total_requests() == 2);
}

BOOST_AUTO_TEST_CASE(response_to_another_request_is_not_forwarded)
{
    set_route(directory::request_kind::single);
    add_server(answer_other_id);
    BOOST_TEST(run().front() == "502 failed");
}

BOOST_AUTO_TEST_CASE(stream_resumes_at_another_server_without_a_gap)
{
    set_route(directory::request_kind::resumable_stream);
    add_server(with_events(2, false));
    add_server(with_events(2, false));
    add_server(with_events(4, true));
    const std::string expected =
        event_text(1) + event_text(2) + event_text(3) + event_text(4);
    const std::string received = run().front();
    BOOST_TEST(received == "200 " + expected);
}

BOOST_AUTO_TEST_CASE(stream_that_may_not_resume_is_cut_off)
{
    set_route(directory::request_kind::stream);
    add_server(with_events(2, false));
    add_server(with_events(2, false));
    BOOST_TEST(run().front() == "cut");
    BOOST_TEST(total_requests() == 1);
}

BOOST_AUTO_TEST_CASE(shutting_down_gateway_refuses_new_requests)
{
    set_route(directory::request_kind::single);
    add_server(answer_completely);
    state.is_shutting_down = true;
    BOOST_TEST(run().front() == "503 shutting_down");
    BOOST_TEST(total_requests() == 0);
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
    add_server(answer_completely);
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
    add_server(answer_completely);
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
