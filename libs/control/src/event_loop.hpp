/// \file
/// Time and delayed calls, from the process's event loop or simulated.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>

namespace limpet::control
{

/// What a part of a replica needs of the event loop that runs it.
struct event_loop
{
    /// Returns the current time.
    std::function<time_point()> now;
    /// Calls the function once, after the delay.
    std::function<void(duration, std::function<void()>)> call_after;
};

/// Returns the loop of the context, with the system's clock.
event_loop make_event_loop(boost::asio::io_context& context);

} // namespace limpet::control
