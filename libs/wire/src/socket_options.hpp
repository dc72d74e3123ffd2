/// \file
/// Options of the sockets between processes.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace limpet::wire
{

/// Sends small frames at once, and ends the connection when sent bytes stay
/// unacknowledged for the timeout, which a silent partition causes.
void set_link_options(boost::asio::ip::tcp::socket& socket,
                      duration silence_timeout);

} // namespace limpet::wire
