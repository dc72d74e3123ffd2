/// \file
/// Units of size and time.

#pragma once

#include <limpet/base/strong_type.hpp>

#include <chrono>
#include <cstdint>
#include <ctime>

namespace limpet
{

/// A number of bytes.
using byte_count = strong_type<struct byte_count_tag, std::uint64_t>;

/// A number of model tokens.
using token_count = strong_type<struct token_count_tag, std::uint64_t>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// Monotonic clock of the decision code. The daemons map the system's time
/// since boot to it; tests and benchmarks set it by hand.
struct monotonic_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    /// The system's clock that also runs while the machine is suspended, as
    /// leases of other machines run out then.
    static constexpr clockid_t source = CLOCK_BOOTTIME;

    /// Returns the system's time. Not for decision code, which takes the time
    /// as an argument.
    static time_point now() noexcept;
};

using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// Returns the duration as a number of seconds.
constexpr double to_seconds(duration value) noexcept
{
    return std::chrono::duration<double>(value).count();
}

/// Returns the duration as a number of milliseconds.
constexpr double to_milliseconds(duration value) noexcept
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Returns the duration of the given number of seconds.
constexpr duration from_seconds(double value) noexcept
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace limpet
