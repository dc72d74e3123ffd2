#include <limpet/base/random.hpp>
#include <limpet/http/event_splitter.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace limpet;
using namespace limpet::http;

namespace
{

constexpr std::size_t max_event_bytes = 200;

std::string make_event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) +
           "\n\n";
}

std::string make_stream(std::uint64_t first, std::uint64_t last)
{
    std::string stream;
    for (std::uint64_t id = first; id <= last; ++id)
    {
        stream += make_event(id);
    }
    return stream;
}

const std::string closing = "data: [DONE]\n\n";

/// Feeds the stream in random parts and returns what came out.
std::string feed_in_parts(event_splitter& splitter,
                          std::string_view stream,
                          random_source& random)
{
    std::string out;
    while (!stream.empty())
    {
        const std::size_t size = 1 + random.below(stream.size());
        auto batch = splitter.feed(stream.substr(0, size));
        BOOST_REQUIRE(is_ok(batch));
        out += value_of(batch).bytes;
        stream.remove_prefix(size);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_splitter_suite)

BOOST_AUTO_TEST_CASE(stream_in_random_parts_passes_whole)
{
    const std::string stream = make_stream(1, 30) + closing;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        random_source random(seed);
        event_splitter splitter(0, max_event_bytes);
        BOOST_TEST(feed_in_parts(splitter, stream, random) == stream);
        BOOST_TEST(splitter.done());
    }
}

BOOST_AUTO_TEST_CASE(events_that_the_caller_has_are_dropped)
{
    random_source random(1);
    event_splitter splitter(10, max_event_bytes);
    const std::string out =
        feed_in_parts(splitter, make_stream(1, 20) + closing, random);
    BOOST_TEST(out == make_stream(11, 20) + closing);
}

BOOST_AUTO_TEST_CASE(rest_that_repeats_the_last_event_is_told_from_an_empty_one)
{
    for (const std::uint64_t first : {7, 10})
    {
        random_source random(1);
        event_splitter splitter(10, max_event_bytes);
        feed_in_parts(splitter, make_stream(first, 9), random);
        BOOST_TEST(!splitter.has_repeated_last());
        BOOST_TEST(feed_in_parts(splitter, make_event(10), random).empty());
        BOOST_TEST(splitter.has_repeated_last());
    }
    event_splitter rest(10, max_event_bytes);
    BOOST_TEST(is_ok(rest.feed(make_event(11))));
    BOOST_TEST(!rest.has_repeated_last());
}

BOOST_AUTO_TEST_CASE(stream_without_closing_event_is_not_done)
{
    random_source random(1);
    event_splitter splitter(0, max_event_bytes);
    feed_in_parts(splitter, make_stream(1, 5) + "data: [DO", random);
    BOOST_TEST(!splitter.done());
}

BOOST_AUTO_TEST_CASE(end_of_stream_inside_an_event_is_recognised)
{
    const std::string event = make_event(1);
    for (std::size_t size = 0; size <= event.size(); ++size)
    {
        event_splitter splitter(0, max_event_bytes);
        BOOST_REQUIRE(is_ok(splitter.feed(event.substr(0, size))));
        BOOST_TEST(splitter.is_inside_event() ==
                   (size > 0 && size < event.size()));
    }
}

BOOST_AUTO_TEST_CASE(stream_without_new_events_is_refused_after_a_bound)
{
    for (const std::string& event : {make_event(1), std::string(": x\n\n")})
    {
        event_splitter splitter(1, max_event_bytes);
        std::size_t taken = 0;
        while (is_ok(splitter.feed(event)) && taken <= max_event_bytes)
        {
            taken += event.size();
        }
        BOOST_TEST(taken <= max_event_bytes);
        BOOST_TEST(taken + event.size() > max_event_bytes);
    }
}

BOOST_AUTO_TEST_CASE(rest_of_a_stream_has_no_event_without_an_id)
{
    for (const std::string& event :
         {std::string("it failed\n\n"),
          std::string("data: it failed\n\n"),
          std::string("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n\n\n")})
    {
        event_splitter whole(0, max_event_bytes);
        BOOST_TEST(is_ok(whole.feed(event)));
        event_splitter rest(1, max_event_bytes);
        BOOST_TEST(!is_ok(rest.feed(event)));
    }
    event_splitter rest(1, max_event_bytes);
    const std::string stream = ": x\n\n" + make_event(2) + closing;
    const auto batch = rest.feed(stream);
    BOOST_REQUIRE(is_ok(batch));
    BOOST_TEST(value_of(batch).bytes == stream);
}

BOOST_AUTO_TEST_CASE(malformed_stream_is_refused)
{
    const std::string streams[] = {
        make_event(1) + make_event(3),         // a gap
        "id: x\ndata: y\n\n",                  // no number
        "id: 0\ndata: y\n\n",                  // no valid number
        std::string(max_event_bytes + 1, 'a'), // too long
        std::string(max_event_bytes, 'a') + "\n\n",
    };
    for (const std::string& stream : streams)
    {
        event_splitter splitter(0, max_event_bytes);
        const auto batch = splitter.feed(stream);
        BOOST_REQUIRE(!is_ok(batch));
        BOOST_TEST((error_of(batch).code == error_code::malformed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
