/// Streams that continue while servers of several software versions serve.

#include "gateway_with_servers.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

constexpr std::uint32_t slots = 8;

std::string events_after(int first, int last)
{
    std::string text;
    for (int i = first + 1; i <= last; ++i)
    {
        text += event_text(i);
    }
    return text;
}

struct gateway_with_versions : gateway_with_servers
{
    gateway_with_versions()
    {
        state.started_at -= seconds(5);
        set_route(directory::request_kind::resumable_stream);
    }

    void remove_server(std::size_t number)
    {
        register_server("i-" + std::to_string(number),
                        servers[number]->local_endpoint(),
                        slots,
                        directory::server_state::gone);
    }

    /// Begins the stream "r0" at a server of v1, which breaks it off after
    /// event 2 and leaves.
    void begin_at_v1()
    {
        add_server(with_events(2, false), slots, "v1");
        BOOST_TEST(run().front() == "cut");
        remove_server(0);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(resumed_streams, gateway_with_versions)

BOOST_AUTO_TEST_CASE(stream_broken_off_continues_only_at_its_version)
{
    add_server(with_events(2, false), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(run().front() == "200 " + events_after(0, 4));
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_broken_off_without_a_server_of_its_version_is_cut_off)
{
    add_server(with_events(2, false), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    BOOST_TEST(run().front() == "cut");
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(caller_resumes_only_at_the_version_that_began_its_stream,
                     *boost::unit_test::disabled())
{
    begin_at_v1();
    add_server(with_events(4, true), slots, "v2");
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(resume("r0", 2) == "200 " + events_after(2, 4));
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(
    caller_resumes_only_at_the_version_that_began_its_stream_a_second_time,
    *boost::unit_test::disabled())
{
    begin_at_v1();
    add_server(with_events(4, true), slots, "v2");
    add_server(with_events(3, false), slots, "v1");
    BOOST_TEST(resume("r0", 2) == "cut");
    remove_server(2);
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(resume("r0", 3) == "200 " + events_after(3, 4));
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_of_unknown_start_is_refused_while_several_versions_serve,
    *boost::unit_test::disabled())
{
    add_server(with_events(4, true), slots, "v1");
    add_server(with_events(4, true), slots, "v2");
    BOOST_TEST(resume("unknown", 2).substr(0, 3) == "503");
    BOOST_TEST(total_requests() == 0);
}

BOOST_AUTO_TEST_CASE(
    stream_of_unknown_start_is_refused_after_another_version_has_left,
    *boost::unit_test::disabled())
{
    begin_at_v1();
    add_server(with_events(4, true), slots, "v2");
    BOOST_TEST(resume("unknown", 2).substr(0, 3) == "503");
    BOOST_TEST(request_counts[1] == 0);
}

BOOST_AUTO_TEST_CASE(stream_of_unknown_start_continues_at_the_only_version)
{
    add_server(with_events(4, true), slots, "v1");
    BOOST_TEST(resume("unknown", 2) == "200 " + events_after(2, 4));
}

BOOST_AUTO_TEST_SUITE_END()
