#include "gateway_metrics.hpp"

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::gateway;

namespace
{

bool has_line(const gateway_metrics& metrics, const std::string& line)
{
    return metrics.to_text().find(line + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_metrics_text)

BOOST_AUTO_TEST_CASE(reported_loads_stand_beside_the_assumed_ones)
{
    gateway_metrics metrics;
    load_assessment assumed;
    assumed.load_bound = 5;
    metrics.record_load("s", assumed, 4);
    assumed.source = load_source::exchange;
    assumed.assumed_load = 2;
    assumed.mean_load = 1.5;
    metrics.record_load("s", assumed, 6);
    const std::string prefix = "limpet_gateway_load_";
    for (const char* source : {"none", "exchange"})
    {
        BOOST_TEST(has_line(metrics,
                            prefix + "responses_total{service=\"s\",source=\"" +
                                source + "\"} 1"));
    }
    BOOST_TEST(
        has_line(metrics, prefix + "above_bound_total{service=\"s\"} 1"));
    BOOST_TEST(has_line(metrics, prefix + "reported_sum{service=\"s\"} 10"));
    BOOST_TEST(has_line(metrics, prefix + "assumed_sum{service=\"s\"} 2"));
    BOOST_TEST(
        has_line(metrics, prefix + "assumed_mean_sum{service=\"s\"} 1.5"));
}

BOOST_AUTO_TEST_SUITE_END()
