#include "silent_peer.hpp"

#include <limpet/http/silence.hpp>

#include <boost/asio/error.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace limpet;
using namespace limpet::http;

namespace
{

/// Options and the time after which Linux 6 ended idle reads with them, by
/// tries with a peer whose segments were dropped.
struct idle_case
{
    silence_options options;
    duration end;
};

const idle_case idle_cases[] = {
    {{milliseconds(0), seconds(1), seconds(1), 1}, seconds(2)},
    {{milliseconds(0), seconds(1), seconds(1), 2}, seconds(3)},
    {{milliseconds(900), seconds(1), seconds(1), 2}, seconds(2)},
    {{milliseconds(2000), seconds(1), seconds(1), 2}, seconds(2)},
    {{milliseconds(2300), seconds(1), seconds(1), 2}, seconds(3)},
    {{milliseconds(2900), seconds(1), seconds(1), 2}, seconds(3)},
    {{milliseconds(3100), seconds(1), seconds(1), 9}, seconds(4)},
};

const duration timeouts[] = {milliseconds(1000),
                             milliseconds(1001),
                             milliseconds(1500),
                             milliseconds(2000),
                             milliseconds(2300),
                             milliseconds(3000),
                             milliseconds(3500),
                             milliseconds(6000)};

/// Returns the end of idle reads where only the probes are counted.
duration end_by_count(silence_options options)
{
    options.user_timeout = milliseconds::zero();
    return end_of_idle_read(options);
}

} // namespace

BOOST_AUTO_TEST_SUITE(silence)

BOOST_AUTO_TEST_CASE(idle_read_ends_at_first_probe_after_user_timeout)
{
    for (const idle_case& each : idle_cases)
    {
        BOOST_TEST_CONTEXT("user timeout " << each.options.user_timeout.count())
        {
            BOOST_TEST((end_of_idle_read(each.options) == each.end));
        }
    }
    const silence_options no_probes{
        milliseconds(900), seconds(1), seconds(1), 0};
    BOOST_TEST((end_of_idle_read(no_probes) == duration::max()));
}

BOOST_AUTO_TEST_CASE(timeout_ends_idle_read_within_a_second_after_it)
{
    for (const duration timeout : timeouts)
    {
        BOOST_TEST_CONTEXT("timeout " << to_milliseconds(timeout) << " ms")
        {
            const silence_options options = options_for_silence(timeout);
            const duration end = end_of_idle_read(options);
            BOOST_TEST((end >= timeout));
            BOOST_TEST((end <= timeout + seconds(1)));
            // Also where the user timeout does not count for probes.
            BOOST_TEST(to_milliseconds(end_by_count(options)) ==
                       to_milliseconds(end));
        }
    }
}

BOOST_AUTO_TEST_CASE(socket_has_the_options_that_were_set)
{
    boost::asio::io_context context;
    connection_to_peer connection(context);
    BOOST_TEST(silence_options_of(connection.near).probes == 0);
    end_when_silent(connection.near, milliseconds(3500));
    const silence_options set = silence_options_of(connection.near);
    BOOST_TEST(set.user_timeout.count() == 3500);
    BOOST_TEST(to_seconds(end_of_idle_read(set)) == 4);
    BOOST_TEST(to_seconds(end_by_count(set)) == 4);
}

BOOST_AUTO_TEST_CASE(connection_to_silent_machine_ends_as_computed)
{
    boost::asio::io_context context;
    std::vector<std::unique_ptr<silent_connection>> idle;
    std::vector<std::unique_ptr<silent_connection>> sending;
    const duration measured[] = {milliseconds(1200), milliseconds(2300)};
    for (const duration timeout : measured)
    {
        idle.push_back(std::make_unique<silent_connection>(context));
        end_when_silent(idle.back()->near, timeout);
        idle.back()->start(false);
        sending.push_back(std::make_unique<silent_connection>(context));
        end_when_silent(sending.back()->near, timeout);
        sending.back()->start(true);
    }
    wait_for_ends(context, idle, seconds(10));
    wait_for_ends(context, sending, seconds(10));
    for (std::size_t i = 0; i < idle.size(); ++i)
    {
        const duration timeout = measured[i];
        BOOST_TEST_CONTEXT("timeout " << to_milliseconds(timeout) << " ms")
        {
            const duration end = end_of_idle_read(options_for_silence(timeout));
            BOOST_TEST_MESSAGE(
                "idle " << to_milliseconds(idle[i]->ended_after)
                        << " ms, in flight "
                        << to_milliseconds(sending[i]->ended_after) << " ms");
            BOOST_TEST((idle[i]->failure == boost::asio::error::timed_out));
            BOOST_TEST((idle[i]->ended_after >= timeout));
            BOOST_TEST((idle[i]->ended_after < end + milliseconds(900)));
            BOOST_TEST((sending[i]->failure == boost::asio::error::timed_out));
            BOOST_TEST((sending[i]->ended_after >= timeout));
            BOOST_TEST((sending[i]->ended_after < timeout + seconds(1)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
