#include "loopback.hpp"

#include <limpet/http/endpoint.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <vector>

using namespace limpet;
using namespace limpet::http;

namespace
{

/// Accepts connections in turn, takes a request from each and sends back given
/// bytes, then closes or resets the connection.
struct scripted_server
{
    explicit scripted_server(boost::asio::io_context& context)
        : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
    }

    /// Answers the next request. Connections that bring none are closed. The
    /// future is ready once the connection is closed.
    std::future<void> answer_next(std::string bytes, bool resets = false)
    {
        const auto closed = std::make_shared<std::promise<void>>();
        accept(std::move(bytes), resets, closed);
        return closed->get_future();
    }

    void accept(std::string bytes,
                bool resets,
                std::shared_ptr<std::promise<void>> closed)
    {
        acceptor.async_accept(
            [this,
             bytes = std::move(bytes),
             resets,
             closed = std::move(closed)](boost::system::error_code failure,
                                         boost::asio::ip::tcp::socket socket)
            {
                if (failure)
                {
                    return;
                }
                std::string received;
                boost::asio::read_until(socket,
                                        boost::asio::dynamic_buffer(received),
                                        "\r\n\r\n",
                                        failure);
                if (received.empty())
                {
                    accept(bytes, resets, closed);
                    return;
                }
                boost::asio::write(socket, boost::asio::buffer(bytes), failure);
                if (resets)
                {
                    socket.set_option(
                        boost::asio::socket_base::linger(true, 0));
                }
                socket.close();
                closed->set_value();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor;
};

/// Answers with a chunk whose extension never ends, a byte each millisecond.
struct dripping_server
{
    explicit dripping_server(boost::asio::io_context& context)
        : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        boost::asio::co_spawn(context, answer(), boost::asio::detached);
    }

    boost::asio::awaitable<void> answer()
    {
        constexpr auto as_result =
            boost::asio::as_tuple(boost::asio::use_awaitable);
        auto [failure, socket] = co_await acceptor.async_accept(as_result);
        const std::string begin =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
        co_await boost::asio::async_write(
            socket, boost::asio::buffer(begin), as_result);
        boost::asio::steady_timer timer(acceptor.get_executor());
        while (!failure)
        {
            timer.expires_after(milliseconds(1));
            co_await timer.async_wait(as_result);
            const auto [write_failure, written] =
                co_await boost::asio::async_write(
                    socket, boost::asio::buffer("x", 1), as_result);
            failure = write_failure;
        }
    }

    /// Returns the error that ends the reading of an answer's body.
    boost::asio::awaitable<error> read_body(client& caller, duration timeout)
    {
        auto sent = co_await caller.send(
            acceptor.local_endpoint(), make_request("GET", "/"), seconds(10));
        auto& answer = std::get<std::unique_ptr<response_stream>>(sent);
        answer->set_read_timeout(timeout);
        const auto part = co_await answer->read_some();
        co_return is_ok(part) ? error{error_code::internal, "a part was read"}
                              : error_of(part);
    }

    boost::asio::ip::tcp::acceptor acceptor;
};

/// Keeps its connections and sends the next of the answers for each request.
struct keeping_server
{
    keeping_server(boost::asio::io_context& io, std::vector<std::string> script)
        : context(io),
          acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}),
          answers(std::move(script))
    {
        boost::asio::co_spawn(context, accept_all(), boost::asio::detached);
    }

    boost::asio::awaitable<void> accept_all()
    {
        constexpr auto as_result =
            boost::asio::as_tuple(boost::asio::use_awaitable);
        for (;;)
        {
            auto [failure, socket] = co_await acceptor.async_accept(as_result);
            if (failure)
            {
                co_return;
            }
            ++connections;
            boost::asio::co_spawn(
                context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        constexpr auto as_result =
            boost::asio::as_tuple(boost::asio::use_awaitable);
        std::string received;
        for (;;)
        {
            auto [failure, size] = co_await boost::asio::async_read_until(
                socket,
                boost::asio::dynamic_buffer(received),
                "\r\n\r\n",
                as_result);
            if (failure || next == answers.size())
            {
                co_return;
            }
            received.erase(0, size);
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(answers[next++]), as_result);
        }
    }

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::string> answers;
    std::atomic<std::size_t> next = 0;
    std::atomic<int> connections = 0;
};

struct answer_case
{
    std::string bytes;
    /// Expected body, or the start of the error's text.
    std::string result;
    bool fails;
};

const std::string head = "HTTP/1.1 200 OK\r\n";

const answer_case answers[] = {
    {head + "Content-Length: 2\r\n\r\nok", "ok", false},
    {head + "\r\nuntil the end", "until the end", false},
    {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     "ok",
     false},
    {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
     "ok",
     false},
    {"HTTP/1.1 204 No Content\r\n\r\n", "", false},
    {head + "Content-Length: 3\r\n\r\nok", "the answer was cut off", true},
    {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
     "the answer was cut off",
     true},
    {head + "Transfer-Encoding: chunked\r\n\r\nq\r\n", "malformed", true},
    {"HTTP/1.1 200", "the answer was cut off", true},
    {"", "the answer was cut off", true},
    {"nonsense\r\n\r\n", "malformed", true},
    {head + "X: " + std::string(20000, 'x') + "\r\n\r\n", "malformed", true},
    {head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(40000, 'x'),
     "",
     true},
    {head + "Transfer-Encoding: gzip\r\n\r\nok", "malformed", true},
    {head + "Transfer-Encoding:\r\n\r\nok", "malformed", true},
    {head + "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
     "malformed",
     true},
    {head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     "malformed",
     true},
    {head + "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     "malformed",
     true},
    {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     "malformed",
     true},
    // Servers in trouble send statuses that are none.
    {"HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\nok",
     "malformed answer: its status is 0",
     true},
    {"HTTP/1.1 099 Unknown\r\nContent-Length: 2\r\n\r\nok",
     "malformed answer: its status is 99",
     true},
    {"HTTP/1.1 600 Unknown\r\nContent-Length: 2\r\n\r\nok",
     "malformed answer: its status is 600",
     true},
    {"HTTP/1.1 599 Unknown\r\nContent-Length: 2\r\n\r\nok", "ok", false},
    {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + head +
         "Content-Length: 2\r\n\r\nok",
     "malformed",
     true},
};

const std::string short_answer = head + "Content-Length: 2\r\n\r\nok";

/// Answers after which more bytes may follow that belong to no request.
const std::string unclear_ends[] = {
    "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
    short_answer + "more",
};

/// A whole answer, of which the body "ok!" begins at the byte.
struct whole_answer
{
    std::string bytes;
    std::size_t body_begin;
    /// Whether the body ends with the connection.
    bool ends_with_connection;
};

whole_answer make_whole(const std::string& fields,
                        const std::string& body,
                        bool ends_with_connection = false)
{
    const std::string begin = head + fields + "\r\n";
    return {begin + body, begin.size(), ends_with_connection};
}

/// Returns the answer after an interim one.
whole_answer after_interim(const whole_answer& last)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n";
    return {interim + last.bytes,
            interim.size() + last.body_begin,
            last.ends_with_connection};
}

/// Returns an answer of the first version, which ends with its connection.
whole_answer make_old()
{
    const std::string begin = "HTTP/1.0 200 OK\r\nA: b\r\n\r\n";
    return {begin + "ok!", begin.size(), true};
}

const whole_answer whole_answers[] = {
    after_interim(make_whole("Content-Length: 3\r\n", "ok!")),
    after_interim(make_whole("", "ok!", true)),
    make_old(),
    make_whole("Content-Length: 3\r\n", "ok!"),
    make_whole("Transfer-Encoding: chunked\r\n",
               "1;a=b\r\no\r\n2\r\nk!\r\n0\r\n\r\n"),
    make_whole("Transfer-Encoding: chunked\r\n",
               "3\r\nok!\r\n0\r\nTrailer: x\r\n\r\n"),
    make_whole("", "ok!", true),
};

using send_result =
    std::variant<std::unique_ptr<response_stream>, request_failure>;

/// A send that is cancelled before it begins or once the server has it.
struct cancelled_send
{
    explicit cancelled_send(boost::asio::io_context& context)
        : strand(boost::asio::make_strand(context))
    {
    }

    boost::asio::awaitable<void> take_request(exchange& call)
    {
        boost::asio::post(strand,
                          [this]
                          {
                              canceller.cancel();
                          });
        const auto executor = co_await boost::asio::this_coro::executor;
        boost::asio::steady_timer never(executor);
        never.expires_at(boost::asio::steady_timer::time_point::max());
        call.on_caller_gone(
            [&never]
            {
                never.cancel();
            });
        co_await never.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    boost::asio::awaitable<send_result> send(loopback& fixture)
    {
        request message = make_request("GET", "/");
        send_result result = co_await fixture.caller->send(
            fixture.endpoint, std::move(message), seconds(10), &canceller);
        co_return result;
    }

    boost::asio::any_io_executor strand;
    send_canceller canceller;
};

/// Sends a request and cancels its answer, which has arrived in full. Returns
/// whether the answer is the first one of its connection.
boost::asio::awaitable<bool> send_and_cancel(loopback& fixture)
{
    request message = make_request("GET", "/");
    send_result result = co_await fixture.caller->send(
        fixture.endpoint, std::move(message), seconds(10));
    auto& answer = std::get<std::unique_ptr<response_stream>>(result);
    answer->cancel();
    co_return answer->is_first_on_connection();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_suite, loopback)

BOOST_AUTO_TEST_CASE(client_answer_is_whole_or_an_error)
{
    scripted_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    for (const answer_case& item : answers)
    {
        BOOST_TEST_CONTEXT(item.bytes.substr(0, 80))
        {
            auto closed = peer.answer_next(item.bytes);
            const auto result = fetch(make_request("GET", "/"));
            const auto* failure = std::get_if<request_failure>(&result);
            BOOST_TEST((failure != nullptr) == item.fails);
            const std::string text = failure != nullptr
                                         ? failure->reason.message
                                         : std::get<response>(result).body;
            BOOST_TEST(text.substr(0, item.result.size()) == item.result);
            BOOST_TEST(
                (failure == nullptr || failure->may_have_reached_server));
            closed.get();
        }
    }
}

BOOST_AUTO_TEST_CASE(client_answer_cut_at_any_byte_is_whole_or_an_error)
{
    scripted_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    for (const whole_answer& item : whole_answers)
    {
        for (std::size_t cut = 0; cut <= 2 * item.bytes.size() + 1; ++cut)
        {
            const std::size_t size = cut / 2;
            const bool resets = cut % 2 == 1;
            auto closed = peer.answer_next(item.bytes.substr(0, size), resets);
            const auto result = fetch(make_request("GET", "/"));
            const auto* answer = std::get_if<response>(&result);
            const bool has_end = size == item.bytes.size();
            const bool ends_early =
                item.ends_with_connection && !resets && size >= item.body_begin;
            BOOST_TEST_CONTEXT(size << " bytes of " << item.bytes << ", reset "
                                    << resets)
            {
                if (answer != nullptr)
                {
                    BOOST_TEST(((has_end && !item.ends_with_connection) ||
                                ends_early));
                    BOOST_TEST(answer->body ==
                               (ends_early
                                    ? item.bytes.substr(item.body_begin,
                                                        size - item.body_begin)
                                    : "ok!"));
                }
                else
                {
                    // A reset may overtake the last bytes.
                    BOOST_TEST(((!has_end && !ends_early) || resets));
                }
            }
            closed.get();
        }
    }
}

/// A server may answer at once, without a length, and reset the connection
/// while the request's body is still being written. What has arrived by then is
/// not the whole answer.
BOOST_AUTO_TEST_CASE(client_answer_reset_during_upload_is_no_whole_answer)
{
    scripted_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    const std::string part = head + "\r\npart of the answer";
    // Fits the socket's buffers, or does not by far.
    for (const std::size_t size : {20'000UL, 300'000UL, 8'000'000UL})
    {
        for (int round = 0; round < 20; ++round)
        {
            auto closed = peer.answer_next(part, true);
            const auto result =
                fetch(make_request("POST", "/", std::string(size, 'x')));
            const auto* failure = std::get_if<request_failure>(&result);
            BOOST_TEST((failure != nullptr && failure->may_have_reached_server),
                       size << " bytes, round " << round);
            closed.get();
        }
    }
}

BOOST_AUTO_TEST_CASE(client_random_damage_gives_whole_answer_or_error)
{
    scripted_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    const std::string whole =
        head + "Transfer-Encoding: chunked\r\n\r\n"
               "2\r\nok\r\n1;ext=1\r\n!\r\n0\r\nTrailer: x\r\n\r\n";
    random_source random(1);
    for (int i = 0; i < 300; ++i)
    {
        const std::string bytes = damaged(whole, random);
        auto closed = peer.answer_next(bytes);
        const auto result = fetch(make_request("GET", "/"));
        const auto* failure = std::get_if<request_failure>(&result);
        const bool in_time =
            failure == nullptr || failure->reason.code != error_code::timeout;
        BOOST_TEST(in_time, bytes);
        closed.get();
    }
}

BOOST_AUTO_TEST_CASE(client_cancelled_send_says_whether_it_reached_server)
{
    cancelled_send item(context);
    serve(
        [&item](exchange& call)
        {
            return item.take_request(call);
        });
    for (const bool reached : {true, false})
    {
        const auto result = boost::asio::co_spawn(item.strand,
                                                  item.send(*this),
                                                  boost::asio::use_future)
                                .get();
        const auto& failure = std::get<request_failure>(result);
        BOOST_TEST((failure.reason.code == error_code::cancelled));
        BOOST_TEST(failure.may_have_reached_server == reached);
    }
}

BOOST_AUTO_TEST_CASE(client_refused_connection_has_not_reached_server)
{
    scripted_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    peer.acceptor.close();
    const auto result = fetch(make_request("GET", "/"));
    BOOST_TEST(!std::get<request_failure>(result).may_have_reached_server);
}

BOOST_AUTO_TEST_CASE(client_connection_closed_while_kept_is_replaced)
{
    scripted_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    const std::string bytes = head + "Content-Length: 2\r\n\r\nok";
    for (int i = 0; i < 3; ++i)
    {
        auto closed = peer.answer_next(bytes);
        const auto result = fetch(make_request("POST", "/", "x"));
        BOOST_TEST(std::holds_alternative<response>(result));
        closed.get();
    }
}

BOOST_AUTO_TEST_CASE(client_connection_is_kept_after_whole_answer)
{
    keeping_server peer(context, {short_answer, short_answer, short_answer});
    endpoint = peer.acceptor.local_endpoint();
    for (int i = 0; i < 3; ++i)
    {
        const auto result = fetch(make_request("GET", "/"));
        BOOST_TEST(std::get<response>(result).body == "ok");
    }
    BOOST_TEST(peer.connections == 1);
}

// Guards against bytes of one answer that are read as the next one.
BOOST_AUTO_TEST_CASE(client_connection_is_not_kept_after_unclear_end)
{
    for (const std::string& bytes : unclear_ends)
    {
        BOOST_TEST_CONTEXT(bytes)
        {
            keeping_server peer(context, {bytes, short_answer});
            endpoint = peer.acceptor.local_endpoint();
            fetch(make_request("GET", "/"));
            const auto result = fetch(make_request("GET", "/"));
            BOOST_TEST(std::get<response>(result).body == "ok");
            BOOST_TEST(peer.connections == 2);
        }
    }
}

// Guards against a connection that is used again while an answer is due on it.
BOOST_AUTO_TEST_CASE(client_connection_is_not_kept_after_cancelled_answer)
{
    keeping_server peer(context, {short_answer, short_answer});
    endpoint = peer.acceptor.local_endpoint();
    const bool is_first = run(send_and_cancel(*this));
    const auto result = fetch(make_request("GET", "/"));
    BOOST_TEST(is_first);
    BOOST_TEST(std::get<response>(result).body == "ok");
    BOOST_TEST(peer.connections == 2);
}

BOOST_AUTO_TEST_CASE(client_answer_tells_whether_connection_was_used_before)
{
    keeping_server peer(context, {short_answer, short_answer});
    endpoint = peer.acceptor.local_endpoint();
    fetch(make_request("GET", "/"));
    BOOST_TEST(!run(send_and_cancel(*this)));
}

BOOST_AUTO_TEST_CASE(client_trailer_field_is_no_header_field)
{
    keeping_server peer(context,
                        {head + "Transfer-Encoding: chunked\r\n\r\n"
                                "2\r\nok\r\n0\r\nId: trailer\r\n\r\n"});
    endpoint = peer.acceptor.local_endpoint();
    const auto result = fetch(make_request("GET", "/"));
    const auto& answer = std::get<response>(result);
    BOOST_TEST(answer.body == "ok");
    BOOST_TEST(!answer.head.headers.find("Id"));
}

BOOST_AUTO_TEST_CASE(client_head_that_never_comes_times_out)
{
    scripted_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    const auto result = fetch(make_request("GET", "/"), milliseconds(20));
    const auto& failure = std::get<request_failure>(result);
    BOOST_TEST((failure.reason.code == error_code::timeout));
    BOOST_TEST(failure.may_have_reached_server);
}

BOOST_AUTO_TEST_CASE(client_body_without_progress_times_out_though_bytes_come)
{
    dripping_server peer(context);
    endpoint = peer.acceptor.local_endpoint();
    const error failure = run(peer.read_body(*caller, milliseconds(20)));
    BOOST_TEST((failure.code == error_code::timeout), failure.message);
}

BOOST_AUTO_TEST_CASE(endpoint_text_is_read_back_or_refused)
{
    for (const char* text : {"127.0.0.1:80", "[::1]:8080"})
    {
        const auto parsed = parse_endpoint(text);
        BOOST_REQUIRE(is_ok(parsed));
        BOOST_TEST(http::to_string(value_of(parsed)) == text);
    }
    for (const char* text : {"", "x:1", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536"})
    {
        BOOST_TEST(!is_ok(parse_endpoint(text)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
