#include "request_ids.hpp"

#include <limpet/base/units.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <random>

namespace limpet::pipeline
{

namespace
{

std::uint64_t draw_process_number()
{
    std::random_device device;
    constexpr unsigned half_bits = 32;
    return (static_cast<std::uint64_t>(device()) << half_bits) | device();
}

} // namespace

request_id make_request_id()
{
    static const std::uint64_t process = draw_process_number();
    static std::atomic<std::uint64_t> next{1};
    std::array<char, 48> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx-%llx",
                  static_cast<unsigned long long>(process),
                  static_cast<unsigned long long>(next++));
    return request_id(text.data());
}

incarnation make_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(now).count()));
}

} // namespace limpet::pipeline
