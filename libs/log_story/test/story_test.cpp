#include <limpet/log_story/story.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace limpet::log_story;

namespace
{

/// Returns the lines that two routers and a control replica wrote around a
/// failed request.
std::vector<log_line> failed_request_log()
{
    const std::pair<const char*, const char*> texts[] = {
        {"b.log",
         "time=2026-01-01T10:00:03.000 level=INFO program=limpet-router "
         "event=document.in_force version=8"},
        {"a.log",
         "time=2026-01-01T10:00:01.000 level=INFO program=limpet-router "
         "event=document.in_force version=7"},
        {"a.log",
         "time=2026-01-01T10:00:04.500 level=INFO program=limpet-router "
         "event=try.ended request=r1 engine=e1 how=broken "
         "reason=\"the answer was \\\"cut\\\" off\" tries=1"},
        {"a.log",
         "time=2026-01-01T10:00:04.600 level=INFO program=limpet-router "
         "event=request.end request=r1 outcome=failed engine=e1 "
         "total_ms=1600.5"},
        {"a.log",
         "time=2026-01-01T10:00:04.100 level=INFO program=limpet-router "
         "event=request.end request=r2 outcome=answered engine=e1"},
        {"b.log",
         "time=2026-01-01T10:00:04.000 level=INFO program=limpet-router "
         "event=server.rests engine=e1 cause=broken"},
        {"c.log",
         "time=2026-01-01T10:00:00.500 level=INFO program=limpet-control "
         "event=registration.taken engine=e1 state=draining"},
        {"c.log",
         "time=2026-01-01T09:59:50.000 level=INFO program=limpet-control "
         "event=registration.taken engine=e1 state=ready"},
        {"a.log",
         "time=2026-01-01T10:00:09.000 level=INFO program=limpet-router "
         "event=gateway.drain"}};
    std::vector<log_line> lines;
    for (const auto& [file, text] : texts)
    {
        const auto line = parse_line(text, file);
        BOOST_REQUIRE(line.has_value());
        lines.push_back(*line);
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stories)

BOOST_AUTO_TEST_CASE(line_is_parsed_into_source_and_fields)
{
    const auto line =
        parse_line("  12.5 front-a-1 time=2026-01-01T10:00:00.000 level=INFO "
                   "event=try.ended request=r1 reason=\"a = \\\"b\\\"\" left=",
                   "file");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->source == "12.5 front-a-1");
    BOOST_TEST(line->event == "try.ended");
    BOOST_TEST(line->field("reason") == "a = \"b\"");
    BOOST_TEST(line->field("left").empty());
    BOOST_TEST(line->field("none").empty());
}

BOOST_AUTO_TEST_CASE(lines_without_time_or_event_are_rejected)
{
    for (const char* text : {"", "Killed", "time=", "time=x level=INFO"})
    {
        BOOST_TEST(!parse_line(text, "file").has_value());
    }
}

BOOST_AUTO_TEST_CASE(finds_lines_of_request_servers_and_router_ordered_by_time)
{
    const std::vector<log_line> found =
        find_request_lines(failed_request_log(), "r1");
    std::string events;
    for (const log_line& each : found)
    {
        events += each.source + ":" + each.event + " ";
    }
    BOOST_TEST(events == "c.log:registration.taken a.log:document.in_force "
                         "b.log:server.rests a.log:try.ended "
                         "a.log:request.end ");
}

BOOST_AUTO_TEST_CASE(unknown_request_has_no_lines)
{
    BOOST_TEST(find_request_lines(failed_request_log(), "r9").empty());
}

BOOST_AUTO_TEST_SUITE_END()
