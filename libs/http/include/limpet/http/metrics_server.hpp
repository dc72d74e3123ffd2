/// \file
/// Address at which metrics are read.

#pragma once

#include <limpet/http/server.hpp>

#include <functional>
#include <memory>
#include <string>

namespace limpet::http
{

/// Listens at the endpoint and answers each request with the text, which is
/// in Prometheus' format. Errors: io_error.
outcome<std::unique_ptr<server>>
listen_for_metrics(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& endpoint,
                   std::function<std::string()> make_text);

} // namespace limpet::http
