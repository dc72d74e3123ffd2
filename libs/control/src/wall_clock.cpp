#include "wall_clock.hpp"

#include <chrono>

namespace limpet::control
{

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace limpet::control
