/// Sound servers whose machines are silent for a second or so.

#include "gateway_with_servers.hpp"
#include "server_silence.hpp"
#include "silent_peer.hpp"

#include <limpet/http/silence.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <linux/sockios.h>
#include <sstream>
#include <sys/ioctl.h>
#include <utility>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

namespace net = boost::asio;

constexpr auto as_result = net::as_tuple(net::use_awaitable);

/// The longest silence of a sound server: a second or so.
constexpr duration longest_silence = milliseconds(1500);
/// A silence that covers any moment of a second.
constexpr duration second_of_silence = seconds(1);
/// Time after which a router that is cut off from servers must know it.
constexpr duration contact_time = seconds(3);
/// Longest round trip between data centres.
constexpr duration longest_round_trip = milliseconds(100);

/// When Linux sends data again that have no acknowledgement.
struct retransmissions
{
    explicit retransmissions(duration round_trip)
        : timeout(round_trip + milliseconds(200)),
          // After a probe for a lost end, which waits for two round trips and
          // a delayed acknowledgement.
          first(2 * round_trip + milliseconds(200) + timeout)
    {
    }

    /// Returns the time of the first one after the silence.
    duration after(duration silence) const
    {
        duration next = first;
        duration wait = timeout;
        while (next < silence)
        {
            wait *= 2;
            next += wait;
        }
        return next;
    }

    duration timeout;
    duration first;
};

/// Answers requests over one connection at a time. Its machine falls
/// silent when asked.
class server_with_silence
{
public:
    explicit server_with_silence(net::io_context& context)
        : m_acceptor(context, {net::ip::address_v4::loopback(), 0}),
          m_socket(context),
          m_former(context),
          m_timer(context)
    {
    }

    net::ip::tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    /// Is silent from now on for the time.
    void be_silent(duration length)
    {
        BOOST_REQUIRE(http::begin_silence(m_socket));
        m_timer.expires_after(length);
        m_timer.async_wait(
            [this](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    http::end_silence(m_socket);
                }
            });
    }

    /// Answers as many requests in turn.
    net::awaitable<void> answer_requests(int count)
    {
        co_await accept();
        for (int i = 0; i < count; ++i)
        {
            if (!co_await receive())
            {
                co_return;
            }
            co_await send("HTTP/1.1 200 OK\r\nI: r0\r\n"
                          "Content-Length: 5\r\n\r\nwhole");
        }
    }

    /// Sends an event, is silent, says nothing for the time from the event on
    /// and ends the stream with another event.
    net::awaitable<void> stream_with_pause(duration silence, duration pause)
    {
        co_await accept();
        if (!co_await receive())
        {
            co_return;
        }
        net::steady_timer timer(m_acceptor.get_executor(), pause);
        co_await send("HTTP/1.1 200 OK\r\nI: r0\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" +
                      chunk(event_text(1)));
        // Once the event has been acknowledged.
        while (unacknowledged_bytes() > 0)
        {
            net::steady_timer soon(m_acceptor.get_executor(), milliseconds(1));
            co_await soon.async_wait(as_result);
        }
        be_silent(silence);
        co_await timer.async_wait(as_result);
        co_await send(chunk(event_text(2)) + "0\r\n\r\n");
    }

    int requests() const
    {
        return m_requests;
    }

    void close()
    {
        boost::system::error_code ignored;
        m_timer.cancel();
        m_acceptor.close(ignored);
        m_socket.close(ignored);
        m_former.close(ignored);
    }

private:
    static std::string chunk(const std::string& bytes)
    {
        std::ostringstream text;
        text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
        return text.str();
    }

    int unacknowledged_bytes()
    {
        int count = 0;
        return ::ioctl(m_socket.native_handle(), SIOCOUTQ, &count) == 0 ? count
                                                                        : 0;
    }

    /// Leaves the former connection open.
    net::awaitable<void> accept()
    {
        m_former = std::exchange(
            m_socket, std::get<1>(co_await m_acceptor.async_accept(as_result)));
    }

    net::awaitable<bool> receive()
    {
        std::string request;
        const auto [failure, count] = co_await net::async_read_until(
            m_socket, net::dynamic_buffer(request), "\r\n\r\n", as_result);
        m_requests += failure ? 0 : 1;
        co_return !failure;
    }

    net::awaitable<void> send(std::string bytes)
    {
        co_await net::async_write(m_socket, net::buffer(bytes), as_result);
    }

    net::ip::tcp::acceptor m_acceptor;
    net::ip::tcp::socket m_socket;
    net::ip::tcp::socket m_former;
    net::steady_timer m_timer;
    int m_requests = 0;
};

/// A gateway with the silence timeout of the program.
struct gateway_with_silent_server : gateway_with_servers
{
    server_with_silence server{context};

    gateway_with_silent_server()
    {
        state.started_at -= seconds(5);
        http::client_limits limits;
        limits.silence_timeout = server_silence_timeout;
        state.client = http::client::create(limits);
        add_raw_server(server.endpoint());
    }

    ~gateway_with_silent_server()
    {
        server.close();
        // Its coroutines end before it does.
        context.poll();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_servers)

BOOST_AUTO_TEST_CASE(silence_of_a_second_or_so_ends_no_connection)
{
    const http::silence_options options =
        http::options_for_silence(server_silence_timeout);
    const duration idle_end = http::end_of_idle_read(options);
    // Silence that begins right before the first probe, which is answered once
    // it is over.
    BOOST_TEST(to_milliseconds(idle_end) >
               to_milliseconds(options.probe_idle + longest_silence));
    // A probe is lost in the silence, but not the next one.
    BOOST_TEST(to_milliseconds(idle_end) >=
               to_milliseconds(options.probe_idle + options.probe_interval +
                               second_of_silence));
    for (duration round_trip{}; round_trip <= longest_round_trip;
         round_trip += milliseconds(1))
    {
        const retransmissions sent(round_trip);
        BOOST_TEST_CONTEXT("round trip " << to_milliseconds(round_trip))
        {
            BOOST_TEST(
                to_milliseconds(
                    http::end_of_unacknowledged(options, sent.first)) >
                to_milliseconds(sent.after(longest_silence) + round_trip));
        }
    }
}

BOOST_AUTO_TEST_CASE(cut_off_router_has_no_connection_left_after_contact_time)
{
    const http::silence_options options =
        http::options_for_silence(server_silence_timeout);
    BOOST_TEST(to_milliseconds(http::end_of_idle_read(options)) <=
               to_milliseconds(contact_time));
    const retransmissions sent(longest_round_trip);
    BOOST_TEST(to_milliseconds(http::end_of_unacknowledged(
                   options, sent.first)) <= to_milliseconds(contact_time));
}

BOOST_FIXTURE_TEST_CASE(request_to_server_silent_for_a_second_runs_once,
                        gateway_with_silent_server)
{
    set_route(directory::request_kind::single, 1);
    net::co_spawn(context, server.answer_requests(2), net::detached);
    BOOST_TEST(run().front() == "200 whole");
    // The next request is lost on its way over the kept connection.
    server.be_silent(milliseconds(1200));
    BOOST_TEST(run().front() == "200 whole");
    BOOST_TEST(server.requests() == 2);
}

BOOST_FIXTURE_TEST_CASE(
    kept_connection_to_silent_server_is_not_used_after_contact_time,
    gateway_with_silent_server)
{
    set_route(directory::request_kind::single, 1);
    net::co_spawn(context, server.answer_requests(1), net::detached);
    BOOST_TEST(run().front() == "200 whole");
    server.be_silent(seconds(60));
    // The last probe comes up to 0.1 s late, the next one would after 1 s.
    net::steady_timer timer(context, contact_time + milliseconds(500));
    bool is_over = false;
    timer.async_wait(
        [&is_over](boost::system::error_code)
        {
            is_over = true;
        });
    while (!is_over)
    {
        context.run_one();
    }
    net::co_spawn(context, server.answer_requests(1), net::detached);
    const time_point sent_at = monotonic_clock::now();
    BOOST_TEST(run().front() == "200 whole");
    BOOST_TEST(to_milliseconds(monotonic_clock::now() - sent_at) < 1000);
    BOOST_TEST(server.requests() == 2);
}

BOOST_FIXTURE_TEST_CASE(stream_of_server_silent_for_a_second_stays_there,
                        gateway_with_silent_server)
{
    set_route(directory::request_kind::resumable_stream);
    net::co_spawn(
        context,
        server.stream_with_pause(milliseconds(1200), milliseconds(2400)),
        net::detached);
    net::steady_timer timer(context, milliseconds(500));
    timer.async_wait(
        [this](boost::system::error_code)
        {
            add_server(with_events(2, true));
        });
    BOOST_TEST(run().front() == "200 " + event_text(1) + event_text(2));
    BOOST_TEST(server.requests() == 1);
    BOOST_REQUIRE(request_counts.size() == 1U);
    BOOST_TEST(request_counts[0] == 0);
}

BOOST_AUTO_TEST_SUITE_END()
