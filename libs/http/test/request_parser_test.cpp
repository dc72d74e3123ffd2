#include "request_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::http;

namespace
{

/// Parses what has arrived of a request.
struct parsed_request
{
    request_parser parser;
    /// What the parser has not taken yet.
    std::string left;

    void parse(std::string_view bytes)
    {
        left += bytes;
        parser.eager(true);
        std::size_t used = 1;
        while (used > 0 && !parser.is_done())
        {
            boost::system::error_code failure;
            used = parser.put(boost::asio::buffer(left), failure);
            left.erase(0, used);
        }
    }
};

std::string head_of_small_fields(std::size_t bytes)
{
    std::string text = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n";
    while (text.size() < bytes)
    {
        text += "ab: c\r\n";
    }
    return text;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_parsers, parsed_request)

BOOST_AUTO_TEST_CASE(request_is_parsed_into_plain_values)
{
    parse("POST /a?b HTTP/1.1\r\nHost: h\r\nX: y\r\n"
          "Content-Length: 5\r\n\r\nhello");
    BOOST_REQUIRE(parser.is_done());
    const request message = parser.take();
    BOOST_TEST(message.method == "POST");
    BOOST_TEST(message.target == "/a?b");
    BOOST_TEST(message.headers.value_or_empty("x") == "y");
    BOOST_TEST(message.body == "hello");
    BOOST_TEST(parser.version() == 11);
}

BOOST_AUTO_TEST_CASE(fields_of_a_trailer_are_dropped)
{
    parse("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nForged: 1\r\n\r\n");
    BOOST_REQUIRE(parser.is_done());
    const request message = parser.take();
    BOOST_TEST(message.body == "abcde");
    BOOST_TEST(!message.headers.find("Forged"));
}

/// The limits of one request allow thousands of fields.
BOOST_AUTO_TEST_CASE(head_of_small_fields_takes_a_few_times_its_bytes)
{
    const std::string text = head_of_small_fields(15000);
    parse(text);
    BOOST_TEST(!parser.is_header_done());
    BOOST_TEST(parser.memory_bytes() >= text.size() / 2);
    BOOST_TEST(parser.memory_bytes() <= 4 * text.size());
    parse("\r\nhello");
    BOOST_REQUIRE(parser.is_done());
    BOOST_TEST(parser.memory_bytes() <= 3 * text.size());
}

BOOST_AUTO_TEST_CASE(announced_body_takes_memory_only_as_it_arrives)
{
    parse("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nx");
    BOOST_TEST(parser.memory_bytes() < 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
