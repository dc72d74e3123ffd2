#include <limpet/base/units.hpp>

namespace limpet
{

monotonic_clock::time_point monotonic_clock::now() noexcept
{
    const auto steady = std::chrono::steady_clock::now();
    return time_point(
        std::chrono::duration_cast<duration>(steady.time_since_epoch()));
}

} // namespace limpet
