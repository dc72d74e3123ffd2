#include "work_meter.hpp"

#include <iomanip>
#include <sstream>

namespace limpet::control
{

namespace
{

std::size_t index_of(work_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

std::string_view to_string(work_kind kind)
{
    switch (kind)
    {
    case work_kind::consensus:
        return "consensus";
    case work_kind::directory:
        return "directory";
    case work_kind::loads:
        return "loads";
    case work_kind::call:
        return "call";
    case work_kind::registration:
        return "registration";
    case work_kind::updates:
        return "updates";
    }
    return "unknown";
}

work_meter::timer::timer(work_meter& meter, work_kind kind)
    : m_meter(meter),
      m_kind(kind),
      m_start(monotonic_clock::now())
{
}

work_meter::timer::~timer()
{
    m_meter.m_times[index_of(m_kind)].add(monotonic_clock::now() - m_start);
}

const histogram& work_meter::of(work_kind kind) const
{
    return m_times[index_of(kind)];
}

std::string work_meter::take_summary()
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    for (std::size_t i = 0; i < work_kind_count; ++i)
    {
        const histogram& times = m_times[i];
        mark& last = m_marks[i];
        const std::uint64_t count = times.count() - last.count;
        const double seconds = times.sum_seconds() - last.seconds;
        last = {times.count(), times.sum_seconds()};
        if (count != 0)
        {
            constexpr double ms_per_second = 1000;
            out << (out.tellp() > 0 ? ", " : "")
                << to_string(static_cast<work_kind>(i)) << " " << count << " x "
                << seconds * ms_per_second / static_cast<double>(count)
                << " ms";
        }
    }
    return out.str();
}

} // namespace limpet::control
