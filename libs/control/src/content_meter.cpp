#include "content_meter.hpp"

#include <sstream>
#include <utility>

namespace limpet::control
{

std::string_view to_string(feed_content content)
{
    switch (content)
    {
    case feed_content::documents:
        return "documents";
    case feed_content::loads:
        return "loads";
    case feed_content::routers:
        return "routers";
    case feed_content::registrations:
        return "registrations";
    case feed_content::other:
        return "other";
    }
    return "unknown";
}

feed_content content_of(const directory::update& frame)
{
    if (frame.orders)
    {
        return feed_content::documents;
    }
    if (frame.loads)
    {
        return feed_content::loads;
    }
    if (!frame.router_changes.empty())
    {
        return feed_content::routers;
    }
    return frame.registrations.empty() ? feed_content::other
                                       : feed_content::registrations;
}

void content_meter::record(feed_content content, std::size_t bytes)
{
    counts& total = m_counts[static_cast<std::size_t>(content)];
    total.bytes += bytes;
    ++total.frames;
}

const content_meter::counts& content_meter::of(feed_content content) const
{
    return m_counts[static_cast<std::size_t>(content)];
}

std::string content_meter::take_summary()
{
    constexpr std::uint64_t bytes_per_kb = 1000;
    std::ostringstream out;
    for (std::size_t i = 0; i < feed_content_count; ++i)
    {
        const counts now = m_counts[i];
        const counts last = std::exchange(m_marks[i], now);
        if (now.frames != last.frames)
        {
            out << (out.tellp() > 0 ? ", " : "")
                << to_string(static_cast<feed_content>(i)) << " "
                << (now.bytes - last.bytes) / bytes_per_kb << " kB "
                << now.frames - last.frames << " frames";
        }
    }
    return out.str();
}

} // namespace limpet::control
