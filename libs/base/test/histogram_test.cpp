#include <limpet/base/histogram.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;

BOOST_AUTO_TEST_SUITE(histogram_suite)

BOOST_AUTO_TEST_CASE(histogram_quantile_is_within_one_bucket)
{
    histogram lengths;
    for (int i = 1; i <= 1000; ++i)
    {
        lengths.add(milliseconds(i));
    }
    BOOST_TEST(lengths.count() == 1000U);
    BOOST_TEST(lengths.quantile_seconds(0.95) >= 0.95 / 1.5);
    BOOST_TEST(lengths.quantile_seconds(0.95) <= 0.95 * 1.5);
    BOOST_TEST(lengths.max_seconds() == 1.0);
}

BOOST_AUTO_TEST_CASE(histogram_merged_counts_both)
{
    histogram first;
    histogram second;
    first.add(milliseconds(1));
    second.add(milliseconds(3));
    first.merge(second);
    BOOST_TEST(first.count() == 2U);
    BOOST_TEST(first.max_seconds() == 0.003);
}

BOOST_AUTO_TEST_SUITE_END()
