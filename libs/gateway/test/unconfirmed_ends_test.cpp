/// Answers whose end nothing confirms: without length and chunks from a server
/// that is killed, and rests of streams without an event.

#include "gateway_with_servers.hpp"
#include "raw_server.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

using directory::request_kind;

constexpr int last_event = 3;

/// Returns a response without length and chunks.
std::string unframed(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nI: r0\r\n\r\n" + body;
}

/// Returns rests of a stream that have no event.
std::vector<std::string> empty_rests()
{
    const std::string head = "HTTP/1.1 200 OK\r\nI: r0\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {chunked + "0\r\n\r\n",
            chunked + "4\r\n: x\n\r\n0\r\n\r\n",
            chunked + "5\r\n: x\n\n\r\n0\r\n\r\n",
            head + "Content-Length: 0\r\n\r\n",
            head + "\r\n",
            head + "\r\n: x\n\n"};
}

std::string events_up_to(int last)
{
    std::string text;
    for (int number = 1; number <= last; ++number)
    {
        text += event_text(number);
    }
    return text;
}

struct gateway_with_ending_server : gateway_with_servers
{
    std::vector<std::unique_ptr<raw_server>> raw_servers;

    gateway_with_ending_server()
    {
        state.started_at -= seconds(5);
        http::client_limits limits;
        limits.server_end_time = 3 * listening_time_after_kill;
        state.client = http::client::create(limits);
    }

    ~gateway_with_ending_server()
    {
        for (const auto& each : raw_servers)
        {
            each->close();
        }
    }

    /// Adds the server that is chosen before all others.
    void add_first_server(std::string bytes, connection_end end)
    {
        raw_servers.push_back(std::make_unique<raw_server>(context));
        raw_servers.back()->set_answer(std::move(bytes), end);
        add_raw_server(raw_servers.back()->endpoint());
    }

    /// Adds a server that is chosen after the first one.
    void add_next_server(std::string bytes)
    {
        raw_servers.push_back(std::make_unique<raw_server>(context));
        raw_servers.back()->set_answer(std::move(bytes),
                                       connection_end::closed);
        register_server("b-" + std::to_string(raw_servers.size()),
                        raw_servers.back()->endpoint(),
                        8);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unconfirmed_ends, gateway_with_ending_server)

BOOST_AUTO_TEST_CASE(stream_of_killed_server_is_cut_off_between_any_events)
{
    for (const auto kind :
         {request_kind::stream, request_kind::resumable_stream})
    {
        set_route(kind);
        for (int events = 1; events < last_event; ++events)
        {
            add_first_server(unframed(events_up_to(events)),
                             connection_end::killed);
            BOOST_TEST(run().front() == "cut");
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_of_killed_server_resumes_elsewhere_after_any_event)
{
    set_route(request_kind::resumable_stream);
    add_server(with_events(last_event, true));
    for (int events = 0; events <= last_event; ++events)
    {
        add_first_server(unframed(events_up_to(events)),
                         connection_end::killed);
        BOOST_TEST(run().front() == "200 " + events_up_to(last_event));
    }
}

BOOST_AUTO_TEST_CASE(stream_of_live_server_without_length_is_complete)
{
    for (const auto kind :
         {request_kind::stream, request_kind::resumable_stream})
    {
        set_route(kind);
        add_first_server(unframed(events_up_to(last_event)),
                         connection_end::closed);
        BOOST_TEST(run().front() == "200 " + events_up_to(last_event));
    }
}

BOOST_AUTO_TEST_CASE(answer_of_server_that_resets_few_connections_is_complete)
{
    for (const auto kind : {request_kind::single, request_kind::stream})
    {
        for (const int resets : {0, 1, 2})
        {
            set_route(kind);
            add_first_server(unframed(events_up_to(last_event)),
                             connection_end::closed);
            raw_servers.back()->reset_further_connections(resets);
            BOOST_TEST(run().front() == "200 " + events_up_to(last_event));
        }
    }
}

// Guards against a proxy that listens for a server that was killed.
BOOST_AUTO_TEST_CASE(
    answer_of_server_that_resets_all_connections_is_not_complete)
{
    constexpr int all = 100;
    for (const auto kind : {request_kind::single, request_kind::stream})
    {
        set_route(kind);
        add_first_server(unframed(events_up_to(last_event)),
                         connection_end::closed);
        raw_servers.back()->reset_further_connections(all);
        BOOST_TEST(run().front() ==
                   (kind == request_kind::single ? "502 failed" : "cut"));
    }
}

// Guards against a common prompt part that is blamed for the crashes of a
// request.
BOOST_AUTO_TEST_CASE(
    cut_off_answer_of_server_that_resets_all_connections_is_reported)
{
    constexpr int all = 100;
    std::size_t reported = 0;
    on_frame = [&reported](const vm_id& /*router*/, const std::string& payload)
    {
        const auto sent = quarantine::decode(payload);
        BOOST_REQUIRE(is_ok(sent));
        reported += value_of(sent).cut_off.size();
    };
    state.quarantine->set_routers({vm_id("other")});
    set_route(request_kind::stream);
    add_first_server(unframed(events_up_to(1)), connection_end::closed);
    raw_servers.back()->reset_further_connections(all);
    BOOST_TEST(run().front() == "cut");
    context.poll();
    BOOST_TEST(reported == 1);
}

BOOST_AUTO_TEST_CASE(shutdown_ends_the_check_of_a_server)
{
    http::client_limits limits;
    limits.server_end_time = seconds(30);
    state.client = http::client::create(limits);
    set_route(request_kind::single);
    add_first_server(unframed("text"), connection_end::closed);
    const time_point begun = monotonic_clock::now();
    boost::asio::co_spawn(
        context, fetch(make_request(0)), boost::asio::detached);
    raw_server& server = *raw_servers.back();
    while (server.answered() == 0 || server.open_connections() > 0)
    {
        context.run_one();
    }
    while (server.open_connections() == 0)
    {
        context.run_one();
    }
    (*state.requests.begin())->end_for_shutdown();
    while (results.empty())
    {
        context.run_one();
    }
    BOOST_TEST((monotonic_clock::now() < begun + limits.server_end_time / 2));
    BOOST_TEST(!results.front().starts_with("200"));
}

BOOST_AUTO_TEST_CASE(check_of_a_server_ends_with_the_time_of_the_request)
{
    http::client_limits limits;
    limits.server_end_time = seconds(30);
    state.client = http::client::create(limits);
    set_route(request_kind::single);
    directory::plan plan = state.plan->document();
    plan.routes.front().timeout = milliseconds(300);
    state.plan =
        std::make_shared<const directory::route_table>(std::move(plan));
    add_first_server(unframed("text"), connection_end::closed);
    const time_point begun = monotonic_clock::now();
    run();
    BOOST_TEST((monotonic_clock::now() < begun + limits.server_end_time / 2));
    // Nothing shows that the server lives on.
    BOOST_TEST(!results.front().starts_with("200"));
}

BOOST_AUTO_TEST_CASE(plain_answer_of_killed_server_without_length_has_failed)
{
    set_route(request_kind::single);
    add_first_server(unframed("some te"), connection_end::killed);
    BOOST_TEST(run().front() == "502 failed");
}

BOOST_AUTO_TEST_CASE(plain_answer_of_killed_server_is_fetched_elsewhere)
{
    set_route(request_kind::repeatable);
    add_server(
        [](http::exchange& received) -> boost::asio::awaitable<void>
        {
            http::response answer;
            answer.head.headers.set("I", "r0");
            answer.body = "some text";
            co_await received.respond(std::move(answer));
        });
    add_first_server(unframed("some te"), connection_end::killed);
    BOOST_TEST(run().front() == "200 some text");
}

BOOST_DATA_TEST_CASE(stream_is_not_completed_by_a_rest_without_its_last_event,
                     boost::unit_test::data::make(empty_rests()) *
                         boost::unit_test::data::xrange(1, last_event),
                     rest,
                     events)
{
    set_route(request_kind::resumable_stream, 2);
    add_first_server(unframed(events_up_to(events) + "id: 9"),
                     connection_end::closed);
    add_next_server(rest);
    BOOST_TEST(run().front() == "cut");
    BOOST_TEST(raw_servers.back()->answered() == 1);
}

BOOST_AUTO_TEST_CASE(stream_that_lost_only_its_end_is_completed_elsewhere)
{
    set_route(request_kind::resumable_stream, 2);
    add_server(with_events(last_event, true));
    for (const auto end : {connection_end::reset, connection_end::killed})
    {
        add_first_server(unframed(events_up_to(last_event)), end);
        BOOST_TEST(run().front() == "200 " + events_up_to(last_event));
    }
}

BOOST_AUTO_TEST_SUITE_END()
