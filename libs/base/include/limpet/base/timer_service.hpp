/// \file
/// Timers that parts of a program subscribe to.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace limpet
{

/// Calls subscribers at their time. The owner advances it: a daemon from its
/// event loop, a test by hand. Not thread-safe.
class timer_service
{
public:
    using callback = std::function<void(time_point)>;
    using subscription = std::uint64_t;

    explicit timer_service(time_point start)
        : m_now(start)
    {
    }

    /// Returns the time of the last advance.
    time_point now() const noexcept
    {
        return m_now;
    }

    /// Calls the subscriber once, at or after the time.
    subscription at(time_point when, callback call);

    /// Calls the subscriber once, after the delay.
    subscription after(duration delay, callback call);

    /// Calls the subscriber at each period until it is cancelled. The period
    /// must be positive.
    subscription every(duration period, callback call);

    /// Ends the subscription. A call that is already under way is not undone.
    void cancel(subscription id);

    /// Returns the time of the next call, or nothing without subscribers.
    std::optional<time_point> next() const;

    /// Sets the time and calls all subscribers that are due, in the order of
    /// their times and then of their subscription.
    void advance(time_point now);

private:
    struct entry
    {
        time_point when;
        duration period{};
        callback call;
    };
    using slot = std::pair<time_point, subscription>;

    subscription add(time_point when, duration period, callback call);

    time_point m_now;
    subscription m_next_id = 1;
    std::map<slot, entry> m_queue;
    std::unordered_map<subscription, time_point> m_times;
};

} // namespace limpet
