/// \file
/// Socket options of connections between processes.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace limpet::wire
{

/// Disables Nagle's algorithm and lets the kernel close the connection when
/// sent bytes stay unacknowledged for the timeout, as in a network partition
/// that drops packets silently.
void set_link_options(boost::asio::ip::tcp::socket& socket,
                      duration silence_timeout);

} // namespace limpet::wire
