#include <limpet/base/units.hpp>
#include <limpet/log_story/story.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iterator>
#include <set>
#include <string>

namespace limpet::log_story
{

namespace
{

/// How long before a request an event of its router or backend servers is
/// included as a possible cause. Longer than a backend server is ejected after
/// a failure and than an unreachable data centre is excluded from routing.
constexpr duration lookback = seconds(5);

/// Events that change how a router routes requests.
constexpr std::array router_events = {
    std::string_view("gateway.start"),
    std::string_view("gateway.drain"),
    std::string_view("program.end"),
    std::string_view("document.in_force"),
    std::string_view("replica.in_touch"),
    std::string_view("replica.out_of_touch"),
    std::string_view("peer.lost"),
    std::string_view("orders.unreadable"),
    std::string_view("data_centre.unreachable")};

/// Returns the time of day of a log's timestamp, ...THH:MM:SS.mmm, or zero if
/// it has no time of day.
duration time_of_day(std::string_view time)
{
    const std::size_t begin = time.find('T');
    if (begin == std::string_view::npos)
    {
        return {};
    }
    const std::string text(time.substr(begin + 1));
    char* rest = nullptr;
    const long hours = std::strtol(text.c_str(), &rest, 10);
    const long minutes = *rest == ':' ? std::strtol(rest + 1, &rest, 10) : 0;
    const double seconds_part = *rest == ':' ? std::strtod(rest + 1, &rest) : 0;
    return std::chrono::hours(hours) + std::chrono::minutes(minutes) +
           from_seconds(seconds_part);
}

/// Routers, backend servers and time range of the lines with the request's id.
struct request_span
{
    std::set<std::string, std::less<>> routers;
    std::set<std::string, std::less<>> servers;
    duration begin = duration::max();
    duration end{};
};

request_span find_span(const std::vector<log_line>& lines,
                       std::string_view request)
{
    request_span span;
    for (const log_line& each : lines)
    {
        if (each.field("request") != request)
        {
            continue;
        }
        span.routers.insert(each.source);
        if (!each.field("engine").empty())
        {
            span.servers.emplace(each.field("engine"));
        }
        const duration at = time_of_day(each.time);
        const std::string total(each.field("total_ms"));
        const double total_s =
            std::strtod(total.c_str(), nullptr) / milliseconds::period::den;
        span.begin = std::min(span.begin, at - from_seconds(total_s));
        span.end = std::max(span.end, at);
    }
    return span;
}

bool is_relevant(const log_line& line,
                 const request_span& span,
                 std::string_view request)
{
    if (line.field("request") == request)
    {
        return true;
    }
    const duration at = time_of_day(line.time);
    if (at + lookback < span.begin || at > span.end ||
        !line.field("request").empty())
    {
        return false;
    }
    if (span.servers.contains(line.field("engine")))
    {
        return true;
    }
    const bool is_router_event =
        std::find(router_events.begin(), router_events.end(), line.event) !=
        router_events.end();
    return is_router_event && span.routers.contains(line.source);
}

} // namespace

std::vector<log_line> find_request_lines(const std::vector<log_line>& lines,
                                         std::string_view request)
{
    const request_span span = find_span(lines, request);
    std::vector<log_line> found;
    if (span.routers.empty())
    {
        return found;
    }
    std::copy_if(lines.begin(),
                 lines.end(),
                 std::back_inserter(found),
                 [&](const log_line& each)
                 {
                     return is_relevant(each, span, request);
                 });
    std::stable_sort(found.begin(),
                     found.end(),
                     [](const log_line& a, const log_line& b)
                     {
                         return a.time < b.time;
                     });
    return found;
}

} // namespace limpet::log_story
