/// Answers that a server breaks off after each of their bytes.

#include "gateway_with_servers.hpp"
#include "raw_server.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

using http::body_delimiter;

constexpr std::array delimiters = {
    body_delimiter::length, body_delimiter::chunks, body_delimiter::connection};
constexpr std::array ends = {connection_end::closed, connection_end::reset};

const std::vector<std::string> events = {
    "id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"};

std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (const std::string& each : parts)
    {
        text += each;
    }
    return text;
}

/// Returns the response's head up to and including the empty line.
std::string head_text(body_delimiter delimiter, std::size_t body_size)
{
    std::string text = "HTTP/1.1 200 OK\r\nI: r0\r\n";
    if (delimiter == body_delimiter::length)
    {
        text += "Content-Length: " + std::to_string(body_size) + "\r\n";
    }
    if (delimiter == body_delimiter::chunks)
    {
        text += "Transfer-Encoding: chunked\r\n";
    }
    return text + "\r\n";
}

/// Returns the response, with each part as a chunk where there are chunks.
std::string response_text(body_delimiter delimiter,
                          const std::vector<std::string>& parts)
{
    std::string text = head_text(delimiter, joined(parts).size());
    for (const std::string& each : parts)
    {
        if (delimiter != body_delimiter::chunks)
        {
            text += each;
            continue;
        }
        constexpr std::string_view digits = "0123456789abcdef";
        text += digits[each.size() / 16];
        text += digits[each.size() % 16];
        text += "\r\n" + each + "\r\n";
    }
    return delimiter == body_delimiter::chunks ? text + "0\r\n\r\n" : text;
}

/// Returns whether the text consists of whole events, one at least.
bool is_whole_events(std::string_view text)
{
    return text.ends_with("\n\n");
}

/// Streams the events after the one named by the header "After".
boost::asio::awaitable<void> send_remaining_events(http::exchange& caller)
{
    const std::size_t after = std::stoul(
        std::string(caller.received().headers.value_or_empty("After")));
    http::response_head head;
    head.headers.set("I", "r0");
    co_await caller.begin_stream(std::move(head));
    for (std::size_t i = after; i < events.size(); ++i)
    {
        co_await caller.write(events[i]);
    }
    co_await caller.end_stream();
}

/// One cut of a response.
struct cut_response
{
    body_delimiter delimiter;
    connection_end end;
    std::vector<std::string> parts;
    std::size_t size;

    std::string bytes() const
    {
        return response_text(delimiter, parts).substr(0, size);
    }

    bool is_whole() const
    {
        return size == response_text(delimiter, parts).size();
    }

    /// Returns the part of a body without length and chunks that was sent, or
    /// nothing if the cut is in the head.
    std::optional<std::string> sent_body() const
    {
        const std::size_t begin = head_text(delimiter, 0).size();
        return delimiter == body_delimiter::connection && size >= begin
                   ? std::optional(joined(parts).substr(0, size - begin))
                   : std::nullopt;
    }
};

struct gateway_with_raw_server : gateway_with_servers
{
    raw_server server{context};

    gateway_with_raw_server()
    {
        state.started_at -= seconds(5);
    }

    ~gateway_with_raw_server()
    {
        server.close();
    }

    /// Returns the result of a request whose response is cut off.
    std::string fetch_cut(const cut_response& cut)
    {
        server.set_answer(cut.bytes(), cut.end);
        add_raw_server(server.endpoint());
        return run().front();
    }

    template <class Check>
    void for_each_cut(const std::vector<std::string>& parts, Check check)
    {
        for (const body_delimiter delimiter : delimiters)
        {
            const std::size_t size = response_text(delimiter, parts).size();
            for (std::size_t cut = 0; cut <= 2 * size + 1; ++cut)
            {
                const connection_end end = ends[cut % 2];
                check(cut_response{delimiter, end, parts, cut / 2});
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(broken_off_answers, gateway_with_raw_server)

BOOST_AUTO_TEST_CASE(plain_answer_broken_off_at_any_byte_is_not_complete)
{
    for (const auto kind :
         {directory::request_kind::single, directory::request_kind::repeatable})
    {
        set_route(kind);
        for_each_cut(
            {"some ", "text"},
            [this](const cut_response& cut)
            {
                const auto sent = cut.sent_body();
                const bool is_complete = cut.end == connection_end::closed &&
                                         (cut.is_whole() || sent);
                const std::string complete =
                    "200 " + sent.value_or(joined(cut.parts));
                const std::string result = fetch_cut(cut);
                BOOST_TEST_CONTEXT(to_string(cut.delimiter)
                                   << " " << to_string(cut.end) << " after "
                                   << cut.size << " bytes")
                {
                    if (cut.is_whole() && !is_complete && !sent)
                    {
                        // The reset may come before or after the last byte is
                        // read.
                        BOOST_TEST(
                            (result == complete || result == "502 failed"));
                        return;
                    }
                    BOOST_TEST(result ==
                               (is_complete ? complete : "502 failed"));
                }
            });
    }
}

BOOST_AUTO_TEST_CASE(stream_broken_off_at_any_byte_is_not_complete)
{
    for (const auto kind : {directory::request_kind::stream,
                            directory::request_kind::resumable_stream})
    {
        set_route(kind);
        for_each_cut(
            events,
            [this](const cut_response& cut)
            {
                const auto sent = cut.sent_body();
                const bool is_complete =
                    cut.end == connection_end::closed &&
                    (cut.is_whole() || (sent && is_whole_events(*sent)));
                const std::string result = fetch_cut(cut);
                BOOST_TEST_CONTEXT(to_string(cut.delimiter)
                                   << " " << to_string(cut.end) << " after "
                                   << cut.size << " bytes")
                {
                    const std::string complete =
                        "200 " + sent.value_or(joined(cut.parts));
                    const bool has_failed =
                        result == "cut" || result == "502 failed";
                    if (cut.is_whole() && !is_complete && !sent)
                    {
                        BOOST_TEST((result == complete || has_failed));
                        return;
                    }
                    BOOST_TEST((is_complete ? result == complete : has_failed),
                               result);
                }
            });
    }
}

BOOST_AUTO_TEST_CASE(stream_broken_off_within_an_event_resumes_elsewhere)
{
    set_route(directory::request_kind::resumable_stream);
    add_server(send_remaining_events);
    for_each_cut(events,
                 [this](const cut_response& cut)
                 {
                     const auto sent = cut.sent_body();
                     const std::string result = fetch_cut(cut);
                     const std::string whole = "200 " + joined(events);
                     const bool may_end_early =
                         sent && is_whole_events(*sent) &&
                         cut.end == connection_end::closed;
                     BOOST_TEST((result == whole ||
                                 (may_end_early && result == "200 " + *sent)),
                                result);
                 });
}

BOOST_AUTO_TEST_SUITE_END()
