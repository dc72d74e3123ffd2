/// \file
/// Pause of a coroutine.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/awaitable.hpp>

namespace limpet::pipeline
{

/// Completes after the time.
boost::asio::awaitable<void> wait_for(duration length);

} // namespace limpet::pipeline
