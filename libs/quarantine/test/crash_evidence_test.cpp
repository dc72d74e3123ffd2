#include <limpet/quarantine/crash_evidence.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

using namespace limpet;
using namespace limpet::quarantine;

BOOST_AUTO_TEST_SUITE(crash_evidences)

BOOST_AUTO_TEST_CASE(memory_is_bounded_for_any_rate_of_reports)
{
    crash_evidence evidence;
    time_point now{seconds(1000)};
    constexpr std::uint64_t reports = 10 * crash_evidence::max_reports;
    for (std::uint64_t i = 0; i < reports; ++i)
    {
        evidence.add({server_key(i), {part_key(2 * i), part_key(2 * i + 1)}},
                     now);
        now += milliseconds(1);
    }
    BOOST_TEST(evidence.report_count() <= crash_evidence::max_reports);
    BOOST_TEST(evidence.part_count() <= 2 * crash_evidence::max_reports);
    BOOST_TEST(!evidence.has_reports_of(server_key(0)));
    BOOST_TEST(evidence.has_reports_of(server_key(reports - 1)));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_for_prompts_of_many_parts)
{
    crash_evidence evidence;
    std::vector<part_key> parts;
    for (std::uint64_t i = 0; i < 10'000; ++i)
    {
        parts.emplace_back(i);
    }
    evidence.add({server_key(1), parts}, time_point(seconds(1000)));
    BOOST_TEST(evidence.part_count() == crash_evidence::max_parts_of_report);
}

BOOST_AUTO_TEST_CASE(reports_of_the_last_minute_only_count)
{
    crash_evidence evidence;
    time_point now{seconds(1000)};
    for (std::uint64_t i = 0; i < 5; ++i)
    {
        evidence.add({server_key(i), {part_key(1)}}, now);
        now += seconds(31);
    }
    const auto is_known = [](part_key)
    {
        return false;
    };
    BOOST_TEST(evidence.find_responsible(is_known, now).empty());
    BOOST_TEST(evidence.report_count() == 1U);
}

// Guards against sound parts blamed for requests to servers that have ended.
BOOST_AUTO_TEST_CASE(server_that_has_ended_does_not_crash_again)
{
    constexpr std::array<milliseconds, 4> ends = {
        milliseconds(0), milliseconds(0), milliseconds(13), milliseconds(191)};
    const time_point begin{seconds(1000)};
    const part_key crashing = make_request_key(1);
    const part_key sound = make_shared_part_key(2);
    crash_evidence evidence;
    for (std::uint64_t i = 0; i < ends.size(); ++i)
    {
        evidence.add({server_key(i), {crashing}}, begin + ends.at(i));
    }
    // The connections were accepted and then reset.
    for (std::uint64_t i = 0; i < ends.size(); ++i)
    {
        evidence.add({server_key(i), {sound}},
                     begin + milliseconds(200 + 150 * i));
    }
    const auto is_known = [](part_key)
    {
        return false;
    };
    BOOST_TEST(evidence.find_responsible(is_known, begin + seconds(2)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
