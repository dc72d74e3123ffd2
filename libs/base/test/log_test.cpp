#include <limpet/base/log.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;

BOOST_AUTO_TEST_SUITE(log_suite)

BOOST_AUTO_TEST_CASE(event_plain_values_are_written_as_pairs)
{
    const std::string line =
        format_event("request.done", {{"request", "r1"}, {"ms", 12}});
    BOOST_TEST(line == "event=request.done request=r1 ms=12");
}

BOOST_AUTO_TEST_CASE(event_value_with_line_break_stays_on_one_line)
{
    const std::string line = format_event("e", {{"text", "a \"b\"\n"}});
    BOOST_TEST(line == "event=e text=\"a \\\"b\\\"\\x0a\"");
}

/// Callers choose some of the values.
BOOST_AUTO_TEST_CASE(event_long_value_is_cut)
{
    const std::string line =
        format_event("e", {{"id", std::string(15000, 'x')}, {"ms", 1}});
    BOOST_TEST(line.size() < 1200U);
    BOOST_TEST(line.ends_with("xxx... ms=1"));
}

BOOST_AUTO_TEST_SUITE_END()
