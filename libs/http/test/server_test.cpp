#include "loopback.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

using namespace limpet;
using namespace limpet::http;

namespace
{

boost::asio::awaitable<void> echo(exchange& call)
{
    response answer;
    answer.head.headers.set("Seen", call.received().target);
    answer.body = call.received().method + " " + call.received().body;
    co_await call.respond(std::move(answer));
}

boost::asio::awaitable<void> count_to_three(exchange& call)
{
    response_head head;
    co_await call.begin_stream(std::move(head));
    for (const char* part : {"one ", "two ", "three"})
    {
        co_await call.write(part);
    }
    co_await call.end_stream();
}

boost::asio::awaitable<void> cut_off(exchange& call)
{
    response_head head;
    co_await call.begin_stream(std::move(head));
    co_await call.write("half");
}

struct raw_case
{
    const char* name;
    std::string bytes;
    const char* answer_start;
};

std::string long_head()
{
    return "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n";
}

/// A request whose body, if it is not taken for one, is another request.
struct framing_case
{
    const char* name;
    const char* fields;
    const char* answer_start;
};

const framing_case uncertain_framings[] = {
    {"gzip", "Transfer-Encoding: gzip\r\n", "HTTP/1.1 400"},
    {"identity", "Transfer-Encoding: identity\r\n", "HTTP/1.1 400"},
    {"unknown coding", "Transfer-Encoding: xchunked\r\n", "HTTP/1.1 400"},
    {"no coding", "Transfer-Encoding:\r\n", "HTTP/1.1 400"},
    {"chunked is not the last",
     "Transfer-Encoding: chunked, gzip\r\n",
     "HTTP/1.1 400"},
    {"chunked is not the last of two fields",
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
     "HTTP/1.1 400"},
    {"chunked twice",
     "Transfer-Encoding: chunked, chunked\r\n",
     "HTTP/1.1 400"},
    {"chunked with a parameter",
     "Transfer-Encoding: chunked;a=b\r\n",
     "HTTP/1.1 400"},
    {"chunked after a control character",
     "Transfer-Encoding: \vchunked\r\n",
     "HTTP/1.1 400"},
    {"length after a coding",
     "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n",
     "HTTP/1.1 400"},
    {"length before a coding",
     "Content-Length: 3\r\nTransfer-Encoding: gzip\r\n",
     "HTTP/1.1 400"},
    {"coding below chunked",
     "Transfer-Encoding: gzip, chunked\r\n",
     "HTTP/1.1 501"},
    {"coding below chunked in two fields",
     "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
     "HTTP/1.1 501"},
};

const raw_case bad_requests[] = {
    {"garbage", "\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400"},
    {"no version", "GET /\r\n\r\n", "HTTP/1.1 400"},
    {"wrong version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
    {"space in name", "GET / HTTP/1.1\r\nA b: c\r\n\r\n", "HTTP/1.1 400"},
    {"folded nul",
     std::string("GET / HTTP/1.1\r\nA: ") + '\0' + "\r\n\r\n",
     "HTTP/1.1 400"},
    {"bad length",
     "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
     "HTTP/1.1 400"},
    {"two lengths",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     "HTTP/1.1 400"},
    {"length and chunks",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "HTTP/1.1 400"},
    {"bad chunk",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     "HTTP/1.1 400"},
    {"announced body too large",
     "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
     "HTTP/1.1 413"},
    {"chunked body too large",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFF\r\n",
     "HTTP/1.1 413"},
    {"chunks of an old version",
     "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "HTTP/1.1 400"},
    {"tunnel", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 501"},
    {"head too large", long_head(), "HTTP/1.1 431"},
    {"cut off", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", ""},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_suite, loopback)

BOOST_AUTO_TEST_CASE(server_request_is_answered_over_kept_connection)
{
    serve(echo);
    for (int i = 0; i < 3; ++i)
    {
        const auto result = fetch(make_request("POST", "/a?b=c", "hello"));
        const auto& answer = std::get<response>(result);
        BOOST_TEST(answer.body == "POST hello");
        BOOST_TEST(answer.head.headers.value_or_empty("seen") == "/a?b=c");
    }
    BOOST_TEST(listening->connection_count() == 1U);
    BOOST_TEST(listening->open_request_count() == 0U);
}

BOOST_AUTO_TEST_CASE(server_stream_arrives_whole)
{
    serve(count_to_three);
    const auto result = fetch(make_request("GET", "/"));
    BOOST_TEST(std::get<response>(result).body == "one two three");
}

BOOST_AUTO_TEST_CASE(server_stream_without_end_is_seen_as_cut_off)
{
    serve(cut_off);
    const auto result = fetch(make_request("GET", "/"));
    const auto& failure = std::get<request_failure>(result);
    BOOST_TEST(failure.reason.message == "the answer was cut off");
    BOOST_TEST(failure.may_have_reached_server);
}

BOOST_AUTO_TEST_CASE(server_handler_without_answer_gives_500)
{
    serve(
        [](exchange&) -> boost::asio::awaitable<void>
        {
            co_return;
        });
    const auto result = fetch(make_request("GET", "/"));
    BOOST_TEST(std::get<response>(result).head.status == 500U);
}

BOOST_AUTO_TEST_CASE(server_bad_request_is_refused_and_others_are_served)
{
    serve(echo);
    for (const raw_case& item : bad_requests)
    {
        BOOST_TEST_CONTEXT(item.name)
        {
            const std::string answer = exchange_raw(item.bytes, true);
            BOOST_TEST(answer.substr(0, 12) == item.answer_start);
        }
    }
    BOOST_TEST(
        std::holds_alternative<response>(fetch(make_request("GET", "/"))));
}

// Guards against requests that are smuggled in the body of another one.
BOOST_AUTO_TEST_CASE(server_request_with_uncertain_body_end_runs_nothing)
{
    std::atomic<int> runs = 0;
    serve(
        [&runs](exchange& call)
        {
            ++runs;
            return echo(call);
        });
    const std::string hidden =
        "POST /hidden HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    for (const framing_case& item : uncertain_framings)
    {
        for (const char* method : {"POST", "GET", "HEAD"})
        {
            BOOST_TEST_CONTEXT(item.name << ", " << method)
            {
                const std::string answer =
                    exchange_raw(std::string(method) + " /outer HTTP/1.1\r\n" +
                                     item.fields + "\r\n" + hidden,
                                 true);
                BOOST_TEST(answer.substr(0, 12) == item.answer_start);
                BOOST_TEST(answer.find("Connection: close") !=
                           std::string::npos);
                BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos);
            }
        }
    }
    BOOST_TEST(runs == 0);
}

// Guards against fields that a caller adds behind the body.
BOOST_AUTO_TEST_CASE(server_trailer_field_is_no_header_field)
{
    serve(
        [](exchange& call) -> boost::asio::awaitable<void>
        {
            response answer;
            const auto& headers = call.received().headers;
            answer.body = "<" + std::string(headers.value_or_empty("Id")) + ">";
            co_await call.respond(std::move(answer));
        });
    const std::string answer =
        exchange_raw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                     "Connection: close\r\n\r\n"
                     "2\r\nok\r\n0\r\nId: trailer\r\n\r\n");
    BOOST_TEST(answer.ends_with("\r\n\r\n<>"), answer);
}

BOOST_AUTO_TEST_CASE(server_pipelined_requests_are_answered_in_order)
{
    serve(echo);
    const std::string answer =
        exchange_raw("POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                     "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::size_t first = answer.find("Seen: /1");
    const std::size_t second = answer.find("Seen: /2");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(second != std::string::npos);
    BOOST_TEST(first < second);
}

BOOST_AUTO_TEST_CASE(server_old_version_gets_body_without_chunks)
{
    serve(count_to_three);
    const std::string answer = exchange_raw("GET / HTTP/1.0\r\n\r\n");
    BOOST_TEST(answer.ends_with("\r\n\r\none two three"));
}

BOOST_AUTO_TEST_CASE(server_stream_cut_off_without_chunks_ends_irregularly)
{
    serve(cut_off);
    boost::system::error_code ended;
    exchange_raw("GET / HTTP/1.0\r\n\r\n", false, &ended);
    BOOST_TEST(ended == boost::asio::error::connection_reset);
}

BOOST_AUTO_TEST_CASE(server_caller_gone_is_reported_once)
{
    const auto started = std::make_shared<std::promise<void>>();
    const auto ended = std::make_shared<std::promise<int>>();
    serve(
        [=](exchange& call) -> boost::asio::awaitable<void>
        {
            auto executor = co_await boost::asio::this_coro::executor;
            boost::asio::steady_timer never(executor);
            never.expires_at(boost::asio::steady_timer::time_point::max());
            int calls = 0;
            call.on_caller_gone(
                [&]
                {
                    ++calls;
                    never.cancel();
                });
            started->set_value();
            co_await never.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
            response answer;
            const status late = co_await call.respond(std::move(answer));
            ended->set_value(is_ok(late) ? 0 : calls);
        });
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(endpoint);
    boost::asio::write(
        socket, boost::asio::buffer("GET / HTTP/1.1\r\n\r\nGET /early", 28));
    started->get_future().get();
    socket.close();
    BOOST_TEST(ended->get_future().get() == 1);
}

BOOST_AUTO_TEST_CASE(server_stopped_answers_request_under_way_then_closes)
{
    serve(
        [&](exchange& call) -> boost::asio::awaitable<void>
        {
            listening->stop_accepting();
            response answer;
            answer.body = "whole";
            co_await call.respond(std::move(answer));
        });
    const std::string answer = exchange_raw("GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST(answer.ends_with("whole"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(server_slow_or_silent_caller_is_closed)
{
    server_limits limits;
    limits.receive_timeout = milliseconds(20);
    limits.idle_timeout = milliseconds(20);
    serve(echo, limits);
    BOOST_TEST(exchange_raw("") == "");
    for (const char* bytes : {"G",
                              "POST / HTTP/1.1\r\nContent-Length: 3",
                              "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"})
    {
        const std::string answer = exchange_raw(bytes);
        BOOST_TEST(answer.starts_with("HTTP/1.1 408 "));
        BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(server_head_must_arrive_sooner_than_the_whole)
{
    server_limits limits;
    limits.head_timeout = milliseconds(20);
    serve(echo, limits);
    BOOST_TEST(exchange_raw("G").starts_with("HTTP/1.1 408 "));
}

BOOST_AUTO_TEST_CASE(server_limits_that_are_replaced_bound_the_next_request)
{
    serve(echo);
    const auto status_of_body = [this](std::size_t size)
    {
        const auto result =
            fetch(make_request("POST", "/", std::string(size, 'x')));
        return std::get<response>(result).head.status;
    };
    BOOST_TEST(status_of_body(1000) == 200U);
    server_limits limits;
    limits.body_bytes = 999;
    listening->set_limits(limits);
    BOOST_TEST(status_of_body(1000) == 413U);
    limits.body_bytes = 1000;
    limits.header_bytes = 100;
    listening->set_limits(limits);
    BOOST_TEST(status_of_body(1000) == 200U);
    BOOST_TEST(
        exchange_raw("GET /" + std::string(200, 'a') + " HTTP/1.1\r\n\r\n")
            .starts_with("HTTP/1.1 431 "));
}

BOOST_AUTO_TEST_CASE(server_caller_that_does_not_read_stops_the_writer)
{
    server_limits limits;
    limits.write_timeout = milliseconds(20);
    const auto ended = std::make_shared<std::promise<error_code>>();
    serve(
        [=](exchange& call) -> boost::asio::awaitable<void>
        {
            const std::string part(65536, 'x');
            response_head head;
            status sent = co_await call.begin_stream(std::move(head));
            while (is_ok(sent))
            {
                sent = co_await call.write(part);
            }
            ended->set_value(error_of(sent).code);
        },
        limits);
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(endpoint);
    boost::asio::write(socket,
                       boost::asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
    BOOST_TEST((ended->get_future().get() == error_code::timeout));
}

BOOST_AUTO_TEST_CASE(server_bodies_beyond_the_total_are_refused)
{
    server_limits limits;
    limits.total_request_bytes = 64UL * 1024;
    serve(echo, limits);
    for (const std::size_t size : {40000U, 66000U, 40000U})
    {
        const auto result =
            fetch(make_request("POST", "/", std::string(size, 'x')));
        const unsigned expected = size > 64U * 1024 ? 503 : 200;
        BOOST_TEST(std::get<response>(result).head.status == expected);
    }
}

BOOST_AUTO_TEST_CASE(server_random_damage_harms_no_other_request)
{
    serve(echo);
    const std::string whole = "POST /a HTTP/1.1\r\nHost: h\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "5\r\nhello\r\n0\r\n\r\n";
    random_source random(1);
    for (int i = 0; i < 300; ++i)
    {
        const std::string bytes = damaged(whole, random);
        const std::string answer = exchange_raw(bytes, true);
        BOOST_TEST((answer.empty() || answer.starts_with("HTTP/1.1 ")), bytes);
    }
    const auto result = fetch(make_request("POST", "/", "still"));
    BOOST_TEST(std::get<response>(result).body == "POST still");
}

/// Each of the heads is within the limits of one request.
BOOST_AUTO_TEST_CASE(server_heads_beyond_the_total_are_refused)
{
    server_limits limits;
    limits.total_request_bytes = 128UL * 1024;
    limits.head_timeout = seconds(1);
    serve(echo, limits);
    std::string head = "GET / HTTP/1.1\r\n";
    while (head.size() < 15000)
    {
        head += "ab: c\r\n";
    }
    std::vector<boost::asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 8; ++i)
    {
        auto& socket = sockets.emplace_back(context);
        socket.connect(endpoint);
        boost::asio::write(socket, boost::asio::buffer(head));
    }
    int refused = 0;
    for (auto& socket : sockets)
    {
        std::string answer;
        boost::system::error_code ended;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
        refused += answer.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    // Four find room; if one stalls, it yields to another.
    BOOST_TEST(refused >= 4);
    const auto result = fetch(make_request("POST", "/", "small"));
    BOOST_TEST(std::get<response>(result).body == "POST small");
}

BOOST_AUTO_TEST_CASE(server_beyond_connection_limit_refuses)
{
    std::promise<void> begun;
    std::promise<void> may_end;
    server_limits limits;
    limits.connections = 1;
    serve(
        [&](exchange& call) -> boost::asio::awaitable<void>
        {
            begun.set_value();
            may_end.get_future().wait();
            response answer;
            co_await call.respond(std::move(answer));
        },
        limits);
    boost::asio::ip::tcp::socket served(context);
    served.connect(endpoint);
    boost::asio::write(served,
                       boost::asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
    begun.get_future().wait();
    const std::string answer = exchange_raw("");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(listening->counts().refused_connections == 1U);
    may_end.set_value();
}

BOOST_AUTO_TEST_CASE(server_at_connection_limit_ends_one_without_a_request)
{
    server_limits limits;
    limits.connections = 1;
    serve(echo, limits);
    boost::asio::ip::tcp::socket idle(context);
    idle.connect(endpoint);
    const std::string answer =
        exchange_raw("GET /new HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    // A request that crosses the end gets an answer that says it has not run.
    boost::system::error_code ended;
    boost::asio::write(
        idle, boost::asio::buffer("GET / HTTP/1.1\r\n\r\n", 18), ended);
    std::string refusal;
    boost::asio::read(idle, boost::asio::dynamic_buffer(refusal), ended);
    BOOST_TEST(refusal.starts_with("HTTP/1.1 408"));
    BOOST_TEST(refusal.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(server_at_connection_limit_ends_a_kept_connection)
{
    server_limits limits;
    limits.connections = 1;
    serve(echo, limits);
    BOOST_TEST(
        std::holds_alternative<response>(fetch(make_request("GET", "/"))));
    const std::string answer =
        exchange_raw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(listening->counts().ended_connections == 1U);
    // The client finds its connection closed and opens another.
    BOOST_TEST(
        std::holds_alternative<response>(fetch(make_request("GET", "/"))));
}

/// Requests that arrived elsewhere take memory of those that arrive here.
BOOST_AUTO_TEST_CASE(server_claimed_memory_counts_until_it_is_released)
{
    server_limits limits;
    limits.total_request_bytes = 64UL * 1024;
    serve(echo, limits);
    const auto large = [this]
    {
        const auto result =
            fetch(make_request("POST", "/", std::string(40000, 'x')));
        return std::get<response>(result).head.status;
    };
    auto claim = listening->claim_memory(30000);
    BOOST_TEST((claim != nullptr));
    BOOST_TEST((listening->claim_memory(40000) == nullptr));
    BOOST_TEST(listening->counts().without_memory == 1U);
    BOOST_TEST(large() == 503U);
    claim.reset();
    BOOST_TEST(large() == 200U);
}

/// What the handler keeps for a request counts like the request itself.
BOOST_AUTO_TEST_CASE(server_handler_memory_counts_against_the_total)
{
    server_limits limits;
    limits.total_request_bytes = 64UL * 1024;
    serve(
        [](exchange& call) -> boost::asio::awaitable<void>
        {
            response answer;
            answer.body = call.add_memory(60000) ? "first " : "none ";
            answer.body += call.add_memory(60000) ? "second" : "none";
            co_await call.respond(std::move(answer));
        },
        limits);
    for (int i = 0; i < 2; ++i)
    {
        const auto result = fetch(make_request("GET", "/"));
        BOOST_TEST(std::get<response>(result).body == "first none");
    }
}

BOOST_AUTO_TEST_SUITE_END()
