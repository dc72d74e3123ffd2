#include "replica_metrics.hpp"

#include <limpet/control/control_settings.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::control;

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(group_state_is_exported)
{
    replica_metrics metrics;
    metrics.state.is_leader = true;
    metrics.state.committed = replica::log_index(7);
    metrics.state.members = {{{vm_id("a"), {}}, true, {}},
                             {{vm_id("b"), {}}, false, {}}};
    metrics.document_version = 12;
    wire::traffic_counters sent;
    sent.count_sent(wire::channel::consensus, 100);
    metrics.sent = &sent;
    content_meter content;
    content.record(feed_content::documents, 23'000);
    metrics.sent_content = &content;
    const std::string text = to_prometheus_text(metrics);
    for (const char* line :
         {"limpet_control_is_leader 1\n",
          "limpet_control_log_committed 7\n",
          "limpet_control_members 2\n",
          "limpet_control_voters 1\n",
          "limpet_control_document_version 12\n",
          "limpet_control_sent_frames_total{channel=\"consensus\"} 1\n",
          "limpet_control_feed_bytes_total{content=\"documents\"} 23000\n"})
    {
        BOOST_TEST_CONTEXT(line)
        {
            BOOST_TEST(text.find(line) != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(metrics_address_is_validated)
{
    const auto parse = [](const char* address)
    {
        boost::json::object document = {{"vm", "a"},
                                        {"data_centre", "north"},
                                        {"operators", "127.0.0.1:1"},
                                        {"peers", "127.0.0.1:2"},
                                        {"data_folder", "/tmp"},
                                        {"metrics", address}};
        return parse_control_settings(document);
    };
    const auto good = parse("127.0.0.1:3");
    BOOST_REQUIRE(is_ok(good));
    BOOST_TEST(value_of(good).metrics->port() == 3);
    const auto bad = parse("nowhere");
    BOOST_REQUIRE(!is_ok(bad));
    BOOST_TEST(error_of(bad).message.find("metrics") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
