/// \file
/// Socket options of connections between processes.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace limpet::wire
{

/// Disables Nagle's algorithm and lets the kernel close the connection when the
/// peer's machine is silent for the timeout, as in a network partition that
/// drops packets silently, also if the connection is idle or only read:
/// http::options_for_silence() says when.
void set_link_options(boost::asio::ip::tcp::socket& socket,
                      duration silence_timeout);

} // namespace limpet::wire
