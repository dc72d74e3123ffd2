/// \file
/// Delays and cancellation of one request in progress.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/standin/run_record.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace limpet::standin
{

/// Lets a request wait and be stopped. All members except post_stop must be
/// called on the executor.
class run_control : public std::enable_shared_from_this<run_control>
{
public:
    explicit run_control(const boost::asio::any_io_executor& executor);

    /// Waits for the time, counted from the scheduled end of the previous
    /// wait. Returns false if the request was stopped.
    boost::asio::awaitable<bool> wait(duration time);

    /// Waits until the request is stopped.
    boost::asio::awaitable<void> wait_for_stop();

    /// Stops the request with the outcome.
    void stop(run_outcome outcome);

    /// Posts a call of stop to the executor. Thread-safe.
    void post_stop(run_outcome outcome);

    /// Returns the outcome given to stop, or running if the request was not
    /// stopped.
    run_outcome stop_outcome() const noexcept
    {
        return m_stop_outcome;
    }

private:
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer::time_point m_last;
    run_outcome m_stop_outcome = run_outcome::running;
};

} // namespace limpet::standin
