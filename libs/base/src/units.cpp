#include <limpet/base/units.hpp>

#include <ctime>

namespace limpet
{

monotonic_clock::time_point monotonic_clock::now() noexcept
{
    timespec time{};
    // Cannot fail: the clock exists on every Linux that this runs on.
    ::clock_gettime(source, &time);
    return time_point(seconds(time.tv_sec) + nanoseconds(time.tv_nsec));
}

} // namespace limpet
