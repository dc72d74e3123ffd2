/// Streams that continue while servers of several software versions serve.

#include "gateway_with_servers.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

constexpr std::uint32_t slots = 8;

std::string events_after(int first, int last)
{
    std::string text;
    for (int i = first + 1; i <= last; ++i)
    {
        text += event_text(i);
    }
    return text;
}

struct gateway_with_versions : gateway_with_servers
{
    gateway_with_versions()
    {
        state.started_at -= seconds(5);
        set_route(directory::request_kind::resumable_stream);
        // Both were recorded long before.
        state.pool.set_recorded_versions(
            {{origins::make_service_key("s"),
              {origins::make_version_key("s", "v1"),
               origins::make_version_key("s", "v2")}}},
            monotonic_clock::now());
    }

    void remove_server(std::size_t number)
    {
        register_server("i-" + std::to_string(number),
                        servers[number]->local_endpoint(),
                        slots,
                        directory::server_state::gone);
    }

    /// Adds another router, which handles frames with the function.
    void add_router(
        const std::function<origins::message(const origins::message& received)>&
            answer)
    {
        on_frame =
            [this, answer](const vm_id& router, const std::string& payload)
        {
            const auto received = origins::decode(payload);
            BOOST_REQUIRE(is_ok(received));
            const std::string sent = encode(answer(value_of(received)));
            boost::asio::post(context,
                              [this, router, sent]
                              {
                                  state.origins->receive(router, sent);
                              });
        };
        state.origins->set_routers({{vm_id("other"), data_centre_id("y")}});
        state.origins->update_sharing();
    }

    /// Begins the stream "r0" at a server of v1, which breaks it off after
    /// event 2 and leaves.
    void begin_at_v1()
    {
        add_server(with_events(2, false), slots, "v1");
        BOOST_TEST(run().front() == "cut");
        remove_server(0);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(resumed_streams, gateway_with_versions)

BOOST_AUTO_TEST_CASE(stream_broken_off_continues_only_at_its_version)
{
    add_server(with_events(2, false), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(run().front() == "200 " + events_after(0, 4));
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_broken_off_without_a_server_of_its_version_is_cut_off)
{
    add_server(with_events(2, false), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    BOOST_TEST(run().front() == "cut");
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(caller_resumes_only_at_the_version_that_began_its_stream)
{
    begin_at_v1();
    add_server(with_events(4, true), slots, "v2");
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(resume("r0", 2) == "200 " + events_after(2, 4));
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(
    caller_resumes_only_at_the_version_that_began_its_stream_a_second_time)
{
    begin_at_v1();
    add_server(with_events(4, true), slots, "v2");
    add_server(with_events(3, false), slots, "v1");
    BOOST_TEST(resume("r0", 2) == "cut");
    remove_server(2);
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(resume("r0", 3) == "200 " + events_after(3, 4));
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_of_unknown_start_is_refused_while_several_versions_serve)
{
    add_server(with_events(4, true), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    BOOST_TEST(resume("unknown", 2).substr(0, 3) == "503");
    BOOST_TEST(total_requests() == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_of_unknown_start_is_refused_after_another_version_has_left)
{
    begin_at_v1();
    add_server(with_events(4, true), slots, "v2");
    BOOST_TEST(resume("unknown", 2).substr(0, 3) == "503");
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_whose_version_another_router_named_does_not_continue_at_the_only_one)
{
    add_server(with_events(4, true), slots, "v2");
    origins::message named;
    named.origins.push_back({origins::make_stream_key(request_id("begun")),
                             origins::make_service_key("s"),
                             origins::make_version_key("s", "v1"),
                             seconds(10)});
    state.origins->receive(vm_id("other"), encode(named));
    BOOST_TEST(resume("begun", 2).substr(0, 3) == "503");
    BOOST_TEST(request_counts[0] == 0);
}

BOOST_AUTO_TEST_CASE(stream_of_unknown_start_continues_at_the_only_version)
{
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(resume("unknown", 2) == "200 " + events_after(2, 4));
}

BOOST_AUTO_TEST_CASE(
    caller_resumes_only_at_the_version_that_another_router_names)
{
    add_server(with_events(4, true), slots, "v2");
    add_server(with_events(4, true), slots, "v1");
    add_router(
        [](const origins::message& received)
        {
            origins::message answer;
            for (const origins::query& each : received.queries)
            {
                answer.origins.push_back({each.stream,
                                          each.service,
                                          origins::make_version_key("s", "v1"),
                                          each.max_age});
            }
            return answer;
        });
    BOOST_TEST(resume("elsewhere", 2) == "200 " + events_after(2, 4));
    BOOST_TEST(request_counts[0] == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_that_no_other_router_knows_is_refused_with_their_answers)
{
    add_server(with_events(4, true), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    add_router(
        [](const origins::message& received)
        {
            origins::message answer;
            for (const origins::query& each : received.queries)
            {
                answer.unknown.push_back(each.stream);
            }
            return answer;
        });
    const time_point begun = monotonic_clock::now();
    BOOST_TEST(resume("elsewhere", 2) == "503 unknown_start");
    BOOST_TEST((monotonic_clock::now() - begun < milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(stream_is_refused_soon_if_another_router_does_not_answer)
{
    add_server(with_events(4, true), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    on_frame = [](const vm_id&, const std::string&) {};
    state.origins->set_routers({{vm_id("other"), data_centre_id("y")}});
    const time_point begun = monotonic_clock::now();
    BOOST_TEST(resume("elsewhere", 2) == "503 unknown_start");
    BOOST_TEST((monotonic_clock::now() - begun < seconds(1)));
}

BOOST_AUTO_TEST_CASE(beginning_of_a_stream_is_shared_before_its_first_event)
{
    std::vector<origins::origin> shared;
    add_router(
        [&shared](const origins::message& received)
        {
            shared.insert(
                shared.end(), received.origins.begin(), received.origins.end());
            return origins::message();
        });
    add_server(
        [&shared](http::exchange& each) -> boost::asio::awaitable<void>
        {
            http::response_head head;
            head.headers.set("I", "r0");
            co_await each.begin_stream(std::move(head));
            // Completes only once the gateway has read the head.
            const auto executor = co_await boost::asio::this_coro::executor;
            while (shared.empty())
            {
                co_await boost::asio::post(executor,
                                           boost::asio::use_awaitable);
            }
            co_await each.write(event_text(1));
            co_await each.end_stream();
        });
    BOOST_TEST(run().front() == "200 " + event_text(1));
    BOOST_REQUIRE(shared.size() == 1U);
    BOOST_TEST(
        (shared[0].stream == origins::make_stream_key(request_id("r0"))));
    BOOST_TEST((shared[0].version == origins::make_version_key("s", "v1")));
}

BOOST_AUTO_TEST_CASE(stream_whose_route_leads_to_another_service_continues)
{
    add_server(with_events(4, true), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    state.origins->record({origins::make_stream_key(request_id("moved")),
                           origins::make_service_key("former"),
                           origins::make_version_key("former", "v0"),
                           seconds(10)});
    BOOST_TEST(resume("moved", 2) == "200 " + events_after(2, 4));
}

BOOST_AUTO_TEST_SUITE_END()
