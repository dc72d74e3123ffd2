/// Requests with prompts of whose parts one crashes servers.

#include "gateway_with_servers.hpp"
#include "raw_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

/// Prompts have one character for each part; the last part is the request's.
struct gateway_with_prompts : gateway_with_servers
{
    std::vector<quarantine::cut_off_request> reported;

    gateway_with_prompts()
    {
        set_route(directory::request_kind::resumable_stream);
        on_frame = [this](const vm_id&, const std::string& payload)
        {
            const auto sent = quarantine::decode(payload);
            if (is_ok(sent))
            {
                const auto& cut_off = value_of(sent).cut_off;
                reported.insert(reported.end(), cut_off.begin(), cut_off.end());
            }
        };
        state.quarantine->set_routers({vm_id("other")});
    }

    static quarantine::part_key key_of(char part)
    {
        const auto id = static_cast<unsigned char>(part);
        return shared_part_keys("s", {{id, 1}, {0, 1}}).at(0);
    }

    static std::vector<quarantine::part_key>
    shared_parts_of(const quarantine::cut_off_request& request)
    {
        auto parts = request.parts;
        std::erase_if(parts, quarantine::is_request_key);
        return parts;
    }

    void quarantine_part(char part)
    {
        quarantine::message received;
        received.entries = {{key_of(part), 1, 0, seconds(30), false}};
        state.quarantine->receive(vm_id("other"), encode(received));
    }

    std::string send(const std::string& parts)
    {
        results.clear();
        http::request message = make_request(0);
        message.headers.set("Parts", parts);
        boost::asio::co_spawn(
            context, fetch(std::move(message)), boost::asio::detached);
        while (results.empty())
        {
            context.run_one();
        }
        return results.front();
    }

    void wait_for_report()
    {
        while (reported.empty())
        {
            BOOST_REQUIRE(context.run_one_for(std::chrono::seconds(5)) > 0);
        }
    }

    /// Ends the connection after the head of a response.
    static boost::asio::awaitable<void> crash(http::exchange& each)
    {
        http::response_head head;
        head.headers.set("I", each.received().headers.value_or_empty("I"));
        co_await each.begin_stream(std::move(head));
        each.cut_off();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_prompts, gateway_with_prompts)

BOOST_AUTO_TEST_CASE(request_with_a_quarantined_part_reaches_no_server)
{
    add_server(with_events(2, true));
    quarantine_part('b');
    BOOST_TEST(send("abx") == "503 quarantined");
    BOOST_TEST(send("bx") == "503 quarantined");
    BOOST_TEST(total_requests() == 0);
    BOOST_TEST(send("acx").starts_with("200"));
    // The last part belongs to the request alone.
    BOOST_TEST(send("acb").starts_with("200"));
}

BOOST_AUTO_TEST_CASE(request_cut_off_by_a_brittle_server_is_not_reported)
{
    set_route(directory::request_kind::stream);
    const auto crash_as_brittle =
        [](http::exchange& each) -> boost::asio::awaitable<void>
    {
        http::response_head head;
        head.headers.set("I", each.received().headers.value_or_empty("I"));
        head.headers.set("Brittle", "2");
        co_await each.begin_stream(std::move(head));
        each.cut_off();
    };
    add_server(crash_as_brittle);
    BOOST_TEST(send("abx") == "502 failed");
    context.run_for(std::chrono::milliseconds(500));
    BOOST_TEST(reported.empty());
    BOOST_TEST(state.pool.is_brittle(engine_id("i-0"), monotonic_clock::now()));
}

BOOST_AUTO_TEST_CASE(
    request_that_was_cut_off_before_its_first_event_is_reported)
{
    set_route(directory::request_kind::stream);
    add_server(crash);
    BOOST_TEST(send("abx") == "502 failed");
    wait_for_report();
    BOOST_REQUIRE(reported.size() == 1U);
    const std::vector<quarantine::part_key> parts = {key_of('a'), key_of('b')};
    BOOST_TEST((shared_parts_of(reported[0]) == parts));
}

BOOST_AUTO_TEST_CASE(answer_that_cannot_be_read_is_not_reported)
{
    set_route(directory::request_kind::stream);
    raw_server server(context);
    for (const std::string bytes : {"no HTTP",
                                    "HTTP/1.1 200 OK\r\nI: r0\r\nX: ",
                                    "HTTP/1.1 200 OK\r\nI: r0\r\n\r\n"})
    {
        server.set_endless_answer(bytes, std::string(1000, 'x'));
        add_raw_server(server.endpoint());
        BOOST_TEST(send("abx") == "502 failed");
    }
    server.close();
    // Reports are sent in order, so that one before this would be there.
    add_server(crash);
    BOOST_TEST(send("cdx") == "502 failed");
    wait_for_report();
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST((shared_parts_of(reported[0]).at(0) == key_of('c')));
}

BOOST_AUTO_TEST_CASE(stream_that_was_cut_off_soon_after_an_event_is_reported)
{
    set_route(directory::request_kind::stream);
    add_server(with_events(1, false));
    BOOST_TEST(send("abx") == "cut");
    wait_for_report();
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST((shared_parts_of(reported[0]).at(1) == key_of('b')));
}

BOOST_AUTO_TEST_CASE(text_that_was_cut_off_amid_its_body_is_reported)
{
    set_route(directory::request_kind::single);
    add_server(
        [](http::exchange& each) -> boost::asio::awaitable<void>
        {
            http::response_head head;
            head.headers.set("I", each.received().headers.value_or_empty("I"));
            co_await each.begin_stream(std::move(head));
            co_await each.write("half");
            each.cut_off();
        });
    BOOST_TEST(send("abx") == "502 failed");
    wait_for_report();
    BOOST_TEST(reported.size() == 1U);
}

BOOST_AUTO_TEST_CASE(stream_of_a_server_that_lived_on_is_not_reported)
{
    set_route(directory::request_kind::stream);
    add_server(
        [this](http::exchange& each) -> boost::asio::awaitable<void>
        {
            if (total_requests() > 1)
            {
                co_await crash(each);
                co_return;
            }
            http::response_head head;
            head.headers.set("I", each.received().headers.value_or_empty("I"));
            co_await each.begin_stream(std::move(head));
            co_await each.write(event_text(1));
            boost::asio::steady_timer timer(context, milliseconds(300));
            co_await timer.async_wait(boost::asio::use_awaitable);
            co_await each.write(event_text(2));
            co_await each.write("id: 99\nda");
            each.cut_off();
        });
    BOOST_TEST(send("abx") == "cut");
    BOOST_TEST(send("acx") == "502 failed");
    wait_for_report();
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST((shared_parts_of(reported[0]).at(1) == key_of('c')));
}

BOOST_AUTO_TEST_CASE(request_is_not_repeated_once_its_part_is_quarantined)
{
    const auto crash_and_quarantine =
        [this](http::exchange& each) -> boost::asio::awaitable<void>
    {
        quarantine_part('b');
        co_await crash(each);
    };
    add_server(crash_and_quarantine);
    add_server(crash_and_quarantine);
    BOOST_TEST(send("abx") == "502 failed");
    BOOST_TEST(total_requests() == 1);
}

BOOST_AUTO_TEST_CASE(answer_releases_a_part_that_was_blamed)
{
    const auto quarantine_and_answer =
        [this](http::exchange& each) -> boost::asio::awaitable<void>
    {
        quarantine_part('b');
        co_await stream_events(each, 2, true);
    };
    add_server(quarantine_and_answer);
    BOOST_TEST(send("abx").starts_with("200"));
    // The part is quarantined under a revision that is no longer the newest.
    BOOST_TEST(send("abx").starts_with("200"));
}

BOOST_AUTO_TEST_CASE(request_without_a_prompt_is_reported_under_the_same_key)
{
    set_route(directory::request_kind::single);
    add_server(crash);
    BOOST_TEST(send("") == "502 failed");
    BOOST_TEST(send("") == "502 failed");
    while (reported.size() < 2)
    {
        context.run_one();
    }
    BOOST_REQUIRE(reported[0].parts.size() == 1U);
    BOOST_TEST((reported[0].parts == reported[1].parts));
}

BOOST_AUTO_TEST_CASE(requests_differ_by_path_caller_and_body)
{
    http::request message;
    message.method = "POST";
    message.target = "/x";
    message.body = "body";
    call fields;
    fields.key = "key";
    const auto first = request_keys("s", message, fields);
    BOOST_TEST((request_keys("s", message, fields) == first));
    std::set<quarantine::part_key> keys(first.begin(), first.end());
    const auto add = [&]
    {
        for (const auto each : request_keys("s", message, fields))
        {
            BOOST_TEST(quarantine::is_request_key(each));
            keys.insert(each);
        }
    };
    message.target = "/y";
    add();
    message.body = "other";
    add();
    fields.key = "other";
    add();
    BOOST_TEST(keys.size() == 4U);
    // The prompt adds a key; the one without it stays.
    fields.parts = {{1, 100}};
    add();
    BOOST_TEST(keys.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
