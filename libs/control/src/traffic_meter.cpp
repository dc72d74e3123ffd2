#include "traffic_meter.hpp"

#include <sstream>
#include <utility>

namespace limpet::control
{

std::string traffic_meter::take_summary(const wire::traffic_counters& counters)
{
    constexpr std::uint64_t bytes_per_kb = 1000;
    std::ostringstream out;
    for (std::size_t i = 0; i < wire::channel_count; ++i)
    {
        const auto kind = static_cast<wire::channel>(i);
        const mark now{counters.sent_bytes(kind),
                       counters.received_bytes(kind),
                       counters.sent_frames(kind),
                       counters.received_frames(kind)};
        const mark last = std::exchange(m_marks[i], now);
        if (now.sent_frames == last.sent_frames &&
            now.received_frames == last.received_frames)
        {
            continue;
        }
        out << (out.tellp() > 0 ? ", " : "") << to_string(kind) << " "
            << (now.sent_bytes - last.sent_bytes) / bytes_per_kb << "/"
            << (now.received_bytes - last.received_bytes) / bytes_per_kb
            << " kB " << now.sent_frames - last.sent_frames << "/"
            << now.received_frames - last.received_frames << " frames";
    }
    return out.str();
}

} // namespace limpet::control
