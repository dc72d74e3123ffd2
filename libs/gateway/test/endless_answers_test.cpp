/// Responses whose bytes never end.

#include "gateway_with_servers.hpp"
#include "raw_server.hpp"

#include <boost/test/unit_test.hpp>

#include <malloc.h>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

/// A response of bytes sent once and bytes sent without end.
struct endless_response
{
    std::string name;
    std::string bytes;
    std::string repeated;
};

const std::string head = "HTTP/1.1 200 OK\r\nI: r0\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string text(1000, 'x');
const std::string chunk = "3e8\r\n" + text + "\r\n";

const endless_response responses[] = {
    {"no HTTP", "", text},
    {"zeros", "", std::string(1000, '\0')},
    {"header without end", head + "X: ", text},
    {"headers without end", head, "X: " + text + "\r\n"},
    {"interim responses without end", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"body until the connection ends", head + "\r\n", text},
    {"chunks without end", chunked_head, chunk},
    {"chunk extension without end", chunked_head + "1;", text},
    {"chunk size without end", chunked_head, "0000"},
    {"trailer without end", chunked_head + "0\r\nX: ", text},
};

const endless_response streams[] = {
    {"event without end", head + "\r\n", "data: " + text + "\n"},
    {"events without id", head + "\r\n", "data: " + text + "\n\n"},
    {"comments", head + "\r\n", ": " + text + "\n\n"},
    {"the same event", head + "\r\n", "id: 1\ndata: " + text + "\n\n"},
    {"events without id in chunks",
     chunked_head,
     "3e8\r\ndata: " + std::string(992, 'x') + "\n\n\r\n"},
};

struct gateway_with_endless_server : gateway_with_servers
{
    raw_server server{context};

    gateway_with_endless_server()
    {
        state.started_at -= seconds(5);
    }

    ~gateway_with_endless_server()
    {
        server.close();
    }

    /// Returns whether the gateway has ended all requests by itself.
    bool has_given_up() const
    {
        return state.metrics.to_text().find("abandoned") == std::string::npos;
    }

    /// Returns the memory allocated for so many streams of one server that have
    /// each been sent most of the longest event.
    std::size_t memory_of_unfinished_events(int count)
    {
        server.set_stalled_answer(head + "\r\n" + std::string(900000, 'x'));
        register_server("i-0", server.endpoint(), 1000);
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        for (int i = 0; i < count; ++i)
        {
            boost::asio::co_spawn(
                context, fetch(make_request(0)), boost::asio::detached);
        }
        while (server.stalled_answers() + static_cast<int>(results.size()) <
               count)
        {
            context.run_one();
        }
        context.poll();
        return mallinfo2().uordblks + mallinfo2().hblkhd - before;
    }

    /// Returns the result of a request, once the server has seen that its
    /// connection ended.
    std::string fetch_endless(const endless_response& response)
    {
        server.set_endless_answer(response.bytes, response.repeated);
        add_raw_server(server.endpoint());
        std::string result = run().front();
        while (server.open_connections() > 0)
        {
            context.run_one();
        }
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answers, gateway_with_endless_server)

BOOST_AUTO_TEST_CASE(response_without_end_is_given_up_and_frees_its_slot)
{
    for (const auto kind : {directory::request_kind::single,
                            directory::request_kind::repeatable,
                            directory::request_kind::resumable_stream})
    {
        set_route(kind);
        for (const endless_response& each : responses)
        {
            BOOST_TEST_CONTEXT(each.name)
            {
                BOOST_TEST(fetch_endless(each) == "502 failed");
                BOOST_TEST(state.pool.requests_in_flight("s") == 0);
                BOOST_TEST(has_given_up());
            }
        }
    }
}

// Guards against a router that runs out of memory on events without end.
BOOST_AUTO_TEST_CASE(events_without_end_stay_within_the_memory_of_responses)
{
    set_route(directory::request_kind::stream, 1);
    constexpr std::size_t budget = 40UL * 1024 * 1024;
    BOOST_TEST(memory_of_unfinished_events(90) <= budget);
}

BOOST_AUTO_TEST_CASE(stream_without_end_is_given_up_and_frees_its_slot)
{
    for (const auto kind : {directory::request_kind::stream,
                            directory::request_kind::resumable_stream})
    {
        set_route(kind);
        for (const endless_response& each : streams)
        {
            BOOST_TEST_CONTEXT(each.name)
            {
                const std::string result = fetch_endless(each);
                BOOST_TEST((result == "cut" || result == "502 failed"), result);
                BOOST_TEST(state.pool.requests_in_flight("s") == 0);
                BOOST_TEST(has_given_up());
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
