/// \file
/// Text form of addresses: "10.0.0.1:8080" or "[::1]:8080".

#pragma once

#include <limpet/base/outcome.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace limpet::http
{

/// Parses an IP number and a port. Names are not resolved.
outcome<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Returns the text that parse_endpoint reads.
std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace limpet::http
