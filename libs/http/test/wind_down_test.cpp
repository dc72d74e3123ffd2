/// Ends of connections while a server winds down, step by step on one thread.

#include <limpet/http/server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <string>

using namespace limpet;
using namespace limpet::http;

namespace net = boost::asio;

namespace
{

struct stepped_server
{
    net::io_context context;
    net::io_context callers;
    std::unique_ptr<server> listening;
    net::ip::tcp::socket socket{callers};

    stepped_server()
    {
        auto opened =
            server::listen(context,
                           {net::ip::address_v4::loopback(), 0},
                           {},
                           [](exchange& caller) -> net::awaitable<void>
                           {
                               response answer;
                               answer.body = "whole";
                               co_await caller.respond(std::move(answer));
                           });
        listening = std::move(std::get<0>(opened));
        connect();
    }

    ~stepped_server()
    {
        listening->close();
        context.poll();
    }

    void connect()
    {
        const std::size_t before = listening->connection_count();
        socket = net::ip::tcp::socket(callers);
        socket.connect(listening->local_endpoint());
        while (listening->connection_count() == before)
        {
            context.run_one();
        }
        context.poll();
    }

    void send_request()
    {
        const std::string text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        net::write(socket, net::buffer(text));
    }

    /// Returns all that comes until the server closes the connection.
    std::string read_all()
    {
        std::string text;
        boost::system::error_code failure;
        socket.non_blocking(true);
        while (failure != net::error::eof &&
               failure != net::error::connection_reset)
        {
            context.poll();
            std::array<char, 512> part{};
            const std::size_t count =
                socket.read_some(net::buffer(part), failure);
            text.append(part.data(), count);
        }
        return text;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(winding_down, stepped_server)

BOOST_AUTO_TEST_CASE(request_that_was_just_read_is_answered)
{
    send_request();
    // The order goes ahead of the request that the same turn reads.
    net::post(context,
              [this]
              {
                  listening->wind_down();
                  listening->close_idle();
              });
    const std::string answer = read_all();
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.ends_with("whole"));
}

BOOST_AUTO_TEST_CASE(idle_connection_is_closed)
{
    listening->close_idle();
    BOOST_TEST(read_all().empty());
}

BOOST_AUTO_TEST_CASE(new_connection_is_still_served_and_then_closed)
{
    listening->wind_down();
    listening->close_idle();
    connect();
    send_request();
    const std::string answer = read_all();
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
