/// What a replica's log line tells of the content of its frames.

#include "content_meter.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::control;

BOOST_AUTO_TEST_SUITE(content_of_frames)

BOOST_AUTO_TEST_CASE(frame_with_orders_and_servers_counts_as_documents)
{
    directory::update frame;
    BOOST_TEST((content_of(frame) == feed_content::other));
    frame.registrations.emplace_back();
    BOOST_TEST((content_of(frame) == feed_content::registrations));
    frame.router_changes.emplace_back();
    BOOST_TEST((content_of(frame) == feed_content::routers));
    frame.orders.emplace();
    BOOST_TEST((content_of(frame) == feed_content::documents));
}

BOOST_AUTO_TEST_CASE(summary_after_a_summary_has_only_what_came_later)
{
    content_meter meter;
    meter.record(feed_content::documents, 20'000);
    meter.record(feed_content::documents, 21'000);
    meter.record(feed_content::loads, 900);
    BOOST_TEST(meter.take_summary() ==
               "documents 41 kB 2 frames, loads 0 kB 1 frames");
    meter.record(feed_content::registrations, 4'000);
    BOOST_TEST(meter.take_summary() == "registrations 4 kB 1 frames");
    BOOST_TEST(meter.take_summary().empty());
    BOOST_TEST(meter.of(feed_content::documents).bytes == 41'000U);
}

BOOST_AUTO_TEST_SUITE_END()
