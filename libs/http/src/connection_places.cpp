#include "connection_places.hpp"

#include <algorithm>

namespace limpet::http
{

namespace
{

/// Time without a byte after which a request that is being received yields.
constexpr duration receive_stall_time = milliseconds(500);
/// A request that has taken this long must have arrived at the lowest rate: a
/// usual one comes in the first packets.
constexpr duration slow_receive_time = milliseconds(250);
constexpr double lowest_bytes_per_second = 8 * 1024;
/// Time without a byte taken after which an answer counts as not read.
constexpr duration write_stall_time = seconds(2);
/// Connections that are ending: a fraction (1/n) of the places.
constexpr std::size_t ending_divisor = 4;

/// Returns whether the connection holds no place, but is left time to end.
bool is_ending(const connection_activity& each)
{
    return !each.is_closed &&
           (each.is_yielding || each.phase == connection_phase::closing);
}

bool holds_place(const connection_activity& each)
{
    return !each.is_closed && !is_ending(each);
}

bool is_slow(const connection_activity& each, time_point now)
{
    const duration taken = now - each.begun;
    const bool is_stalled = each.progressed + receive_stall_time <= now;
    const bool is_below_rate = static_cast<double>(each.bytes) <
                               to_seconds(taken) * lowest_bytes_per_second;
    return is_stalled || (taken >= slow_receive_time && is_below_rate);
}

/// Returns since when the connection has been of no use to its caller, or
/// nothing if it does not yield.
std::optional<time_point> unused_since(const connection_activity& each,
                                       time_point now)
{
    switch (each.phase)
    {
    case connection_phase::waiting:
        return each.begun;
    case connection_phase::receiving:
        return is_slow(each, now) ? std::optional(each.begun) : std::nullopt;
    case connection_phase::writing:
        return each.progressed + write_stall_time <= now
                   ? std::optional(each.progressed)
                   : std::nullopt;
    case connection_phase::handling:
    case connection_phase::closing:
        break;
    }
    return std::nullopt;
}

std::optional<std::size_t>
find_yielding(const std::vector<connection_activity>& open, time_point now)
{
    std::optional<std::size_t> found;
    time_point earliest;
    for (std::size_t i = 0; i < open.size(); ++i)
    {
        const auto since =
            holds_place(open[i]) ? unused_since(open[i], now) : std::nullopt;
        if (since && (!found || *since < earliest))
        {
            found = i;
            earliest = *since;
        }
    }
    return found;
}

std::optional<std::size_t>
find_oldest_ending(const std::vector<connection_activity>& open)
{
    std::optional<std::size_t> oldest;
    for (std::size_t i = 0; i < open.size(); ++i)
    {
        if (is_ending(open[i]) &&
            (!oldest || open[i].begun < open[*oldest].begun))
        {
            oldest = i;
        }
    }
    return oldest;
}

} // namespace

activity_monitor::activity_monitor()
    : m_begun(monotonic_clock::now()),
      m_progressed(m_begun.load())
{
}

void activity_monitor::begin(connection_phase phase)
{
    const time_point now = monotonic_clock::now();
    m_begun = now;
    m_progressed = now;
    m_bytes = 0;
    m_phase = phase;
    m_is_yielding = false;
}

void activity_monitor::add_progress(std::size_t bytes)
{
    m_bytes += bytes;
    m_progressed = monotonic_clock::now();
}

void activity_monitor::set_yielding(bool is_yielding)
{
    m_is_yielding = is_yielding;
}

void activity_monitor::set_closed()
{
    m_is_closed = true;
}

connection_activity activity_monitor::now() const
{
    return {
        m_phase, m_begun, m_progressed, m_bytes, m_is_yielding, m_is_closed};
}

place_decision decide_place(const std::vector<connection_activity>& open,
                            std::size_t places,
                            time_point now)
{
    place_decision decision;
    const auto count = [&open](auto is_counted)
    {
        return static_cast<std::size_t>(
            std::count_if(open.begin(), open.end(), is_counted));
    };
    decision.has_place = count(holds_place) < places;
    if (!decision.has_place)
    {
        decision.yields = find_yielding(open, now);
        decision.has_place = decision.yields.has_value();
    }
    if (count(is_ending) > places / ending_divisor)
    {
        decision.closes = find_oldest_ending(open);
    }
    return decision;
}

} // namespace limpet::http
