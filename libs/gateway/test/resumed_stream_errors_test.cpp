/// Streams that break off and whose next server answers with something else
/// than the rest.

#include "gateway_with_servers.hpp"
#include "raw_server.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <sstream>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

using http::body_delimiter;

constexpr std::array delimiters = {
    body_delimiter::length, body_delimiter::chunks, body_delimiter::connection};
constexpr std::array ends = {connection_end::closed, connection_end::reset};
constexpr std::array failure_codes = {
    201, 202, 204, 205, 206, 301, 302, 304, 307, 400, 401, 403, 404, 405, 408,
    409, 410, 413, 422, 425, 429, 431, 500, 501, 502, 503, 504, 507, 599};
const std::vector<std::string> types = {
    "", "text/plain", "application/json", "text/event-stream"};

/// Content-Type of the stream that breaks off.
const std::string stream_type = "text/event-stream";
const std::string first_event = "id: 1\ndata: one\n\n";
const std::string stream_part = "id: 1\ndata: one\n\nid: 2\nda";
/// Bodies of errors, some of which look like events.
const std::vector<std::string> error_texts = {
    "it failed",
    "it failed\n\n",
    "{\"error\": \"it failed\"}\n\n",
    "data: it failed\n\n",
    "HTTP/1.1 500 it failed\r\nContent-Length: 0\r\n\r\n\n\n"};

std::string field(std::string_view name, std::string_view value)
{
    return value.empty()
               ? std::string()
               : std::string(name) + ": " + std::string(value) + "\r\n";
}

/// Returns a response, of which `is_whole` says whether its end is sent.
std::string response_text(int status,
                          const std::string& type,
                          body_delimiter delimiter,
                          const std::string& body,
                          bool is_whole = true)
{
    constexpr std::size_t missing_bytes = 100;
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
                       field("I", "r0") + field("Content-Type", type);
    if (delimiter == body_delimiter::length)
    {
        const std::size_t size = body.size() + (is_whole ? 0 : missing_bytes);
        return text + field("Content-Length", std::to_string(size)) + "\r\n" +
               body;
    }
    if (delimiter == body_delimiter::connection)
    {
        return text + "\r\n" + body;
    }
    std::ostringstream size;
    size << std::hex << body.size();
    return text + field("Transfer-Encoding", "chunked") + "\r\n" + size.str() +
           "\r\n" + body + "\r\n" + (is_whole ? "0\r\n\r\n" : "");
}

/// Two servers: the first breaks its stream off inside the second event.
struct stream_with_failing_successor : gateway_with_servers
{
    raw_server first{context};
    raw_server second{context};
    int registrations_of_second = 0;

    stream_with_failing_successor()
    {
        state.started_at -= seconds(5);
        set_route(directory::request_kind::resumable_stream, 2);
    }

    ~stream_with_failing_successor()
    {
        first.close();
        second.close();
    }

    void break_off(body_delimiter delimiter, connection_end end)
    {
        first.set_answer(
            response_text(200, stream_type, delimiter, stream_part, false),
            end);
    }

    /// Returns what the caller got besides a connection that was cut.
    std::string fetch()
    {
        add_raw_server(first.endpoint());
        const std::string former =
            "b-" + std::to_string(registrations_of_second);
        register_server(
            former, second.endpoint(), 8, directory::server_state::gone);
        register_server("b-" + std::to_string(++registrations_of_second),
                        second.endpoint(),
                        8);
        return run().front();
    }

    void check(const std::string& answer)
    {
        for (const connection_end end : ends)
        {
            second.set_answer(answer, end);
            const std::string result = fetch();
            BOOST_TEST_CONTEXT("second answer " << answer << " "
                                                << to_string(end))
            {
                BOOST_TEST(result == "cut");
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(resumed_stream_errors, stream_with_failing_successor)

// Guards against an error's text in the middle of a stream.
BOOST_AUTO_TEST_CASE(stream_whose_next_server_fails_is_cut_off_not_completed)
{
    for (const int status : failure_codes)
    {
        for (const std::string& type : types)
        {
            const auto delimiter = delimiters[status % delimiters.size()];
            break_off(delimiter, ends[status % ends.size()]);
            check(response_text(status, type, delimiter, "it failed\n\n"));
        }
    }
}

// Guards against an error with status 200 in the middle of a stream.
BOOST_AUTO_TEST_CASE(stream_whose_next_server_sends_no_events_is_cut_off)
{
    for (const body_delimiter broken : delimiters)
    {
        break_off(broken, connection_end::closed);
        for (const body_delimiter delimiter : delimiters)
        {
            for (const std::string& type : types)
            {
                for (const std::string& text : error_texts)
                {
                    check(response_text(200, type, delimiter, text));
                }
            }
        }
    }
}

// Guards against a stream that an empty answer of another type completes.
BOOST_AUTO_TEST_CASE(stream_is_not_completed_by_an_empty_answer_of_another_type)
{
    break_off(body_delimiter::chunks, connection_end::closed);
    for (const body_delimiter delimiter :
         {body_delimiter::length, body_delimiter::chunks})
    {
        for (const std::string& type : types)
        {
            if (type == stream_type)
            {
                continue;
            }
            check(response_text(200, type, delimiter, ""));
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_goes_on_whatever_the_parameters_of_its_type)
{
    const std::string rest = "id: 2\ndata: two\n\n";
    break_off(body_delimiter::length, connection_end::closed);
    for (const std::string& type :
         {stream_type,
          stream_type + "; charset=utf-8",
          std::string("Text/Event-Stream ;charset=utf-8")})
    {
        second.set_answer(
            response_text(200, type, body_delimiter::chunks, rest),
            connection_end::closed);
        BOOST_TEST(fetch() == "200 id: 1\ndata: one\n\n" + rest);
    }
}

// Guards against events of two runs that are joined for want of ids.
BOOST_AUTO_TEST_CASE(stream_of_events_without_ids_is_not_resumed)
{
    const std::string whole = "data: one\n\ndata: two\n\n";
    for (const std::string& before : {std::string(), first_event})
    {
        first.set_answer(response_text(200,
                                       stream_type,
                                       body_delimiter::chunks,
                                       before + "data: one\n\nda",
                                       false),
                         connection_end::closed);
        check(response_text(
            200, stream_type, body_delimiter::chunks, before + whole));
        check(response_text(
            200, stream_type, body_delimiter::chunks, "id: 2\ndata: two\n\n"));
    }
}

BOOST_AUTO_TEST_CASE(stream_of_comments_is_resumed_from_its_start)
{
    first.set_answer(response_text(200,
                                   stream_type,
                                   body_delimiter::chunks,
                                   ": wait\n\nid: 1\nda",
                                   false),
                     connection_end::closed);
    second.set_answer(
        response_text(200, stream_type, body_delimiter::chunks, first_event),
        connection_end::closed);
    BOOST_TEST(fetch() == "200 : wait\n\n" + first_event);
}

// Guards against answers joined from two on routes that do not resume.
BOOST_AUTO_TEST_CASE(answer_that_breaks_off_is_not_joined_with_the_next)
{
    using directory::request_kind;
    const std::string error = "it failed\n\n";
    for (const auto kind :
         {request_kind::single, request_kind::repeatable, request_kind::stream})
    {
        set_route(kind, 2);
        for (const int status : {200, 201, 400, 404, 409, 429, 500, 503})
        {
            for (const body_delimiter delimiter : delimiters)
            {
                const std::string begun = response_text(
                    200, stream_type, delimiter, stream_part, false);
                second.set_answer(
                    response_text(status, "text/plain", delimiter, error),
                    connection_end::closed);
                const std::size_t body = begun.find("id: 1");
                for (const std::size_t size :
                     {std::size_t(20), body - 3, body + 5, begun.size()})
                {
                    // The end of such an answer is that of its connection.
                    const bool may_be_whole =
                        delimiter == body_delimiter::connection && size > body;
                    first.set_answer(begun.substr(0, size),
                                     may_be_whole ? connection_end::reset
                                                  : connection_end::closed);
                    const std::string result = fetch();
                    const bool is_next =
                        kind == request_kind::repeatable &&
                        result == std::to_string(status) + " " + error;
                    BOOST_TEST(
                        (result == "cut" || result == "502 failed" || is_next),
                        result);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
