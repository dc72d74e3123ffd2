/// \file
/// Pace and end of one request in progress.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/standin/run_record.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace limpet::standin
{

/// Lets a request wait and be stopped. All members but post_stop are used on
/// the executor.
class run_control : public std::enable_shared_from_this<run_control>
{
public:
    explicit run_control(const boost::asio::any_io_executor& executor);

    /// Waits for the time, counted from the end of the last wait. Returns
    /// whether the request may go on.
    boost::asio::awaitable<bool> wait(duration time);

    /// Waits until the request is stopped.
    boost::asio::awaitable<void> wait_for_stop();

    /// Stops the request with the outcome.
    void stop(run_outcome outcome);

    /// As stop, from any thread.
    void post_stop(run_outcome outcome);

    /// Returns the outcome of the stop, running if it was not stopped.
    run_outcome stopped() const noexcept
    {
        return m_stopped;
    }

private:
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer::time_point m_last;
    run_outcome m_stopped = run_outcome::running;
};

} // namespace limpet::standin
