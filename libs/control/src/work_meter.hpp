/// \file
/// Measures the time that a replica's event loop spends on each kind of work.

#pragma once

#include <limpet/base/histogram.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace limpet::control
{

/// Work of the event loop. A registration includes the updates that it causes.
enum class work_kind : std::uint8_t
{
    consensus,    ///< A consensus message, including entries that it commits.
    directory,    ///< A frame with registrations of another replica, or a
                  ///< subscription.
    loads,        ///< A frame with counts of requests.
    call,         ///< A call of another process, such as a claim or a read.
    registration, ///< A registration or deregistration of a backend server.
    updates       ///< A round of updates to the subscribers.
};

constexpr std::size_t work_kind_count = 6;

std::string_view to_string(work_kind kind);

/// Durations of the work handled since the start. Not thread-safe.
class work_meter
{
public:
    /// Adds the time from its construction to its destruction.
    class timer
    {
    public:
        timer(work_meter& meter, work_kind kind);
        ~timer();
        timer(const timer&) = delete;
        timer& operator=(const timer&) = delete;

    private:
        work_meter& m_meter;
        work_kind m_kind;
        time_point m_start;
    };

    const histogram& of(work_kind kind) const;

    /// Returns the work since the last call as text, such as
    /// "consensus 3 x 0.4 ms, registration 12 x 1.5 ms": counts and mean
    /// times. Kinds without work are left out.
    std::string take_summary();

private:
    struct mark
    {
        std::uint64_t count = 0;
        double seconds = 0;
    };

    std::array<histogram, work_kind_count> m_times;
    std::array<mark, work_kind_count> m_marks;
};

} // namespace limpet::control
