/// \file
/// Asynchronous delay for coroutines.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/awaitable.hpp>

namespace limpet::pipeline
{

/// Completes after `delay`.
boost::asio::awaitable<void> wait_for(duration delay);

} // namespace limpet::pipeline
