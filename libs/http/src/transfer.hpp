/// \file
/// Reads and writes of a non-blocking socket under a deadline.

#pragma once

#include "deadline.hpp"

#include <limpet/base/outcome.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <cstddef>
#include <functional>

namespace limpet::http
{

/// Head, body and end of one write; unused parts are empty.
using write_parts = std::array<boost::asio::const_buffer, 3>;

/// What became of a write.
struct write_result
{
    std::size_t written = 0;
    boost::system::error_code failure;
};

/// Writes all parts. The first attempt is made without waiting, since a
/// socket nearly always has room; only then the timeout begins. Calls
/// on_progress with the number of bytes that the socket has taken.
boost::asio::awaitable<write_result>
write_all(boost::asio::ip::tcp::socket& socket,
          deadline& limit,
          duration timeout,
          write_parts parts,
          std::function<void(std::size_t)> on_progress = nullptr);

/// Reads some bytes, at most part bytes, onto the end of the buffer. At the
/// end of the stream the failure is boost::asio::error::eof.
boost::asio::awaitable<boost::system::error_code>
read_more(boost::asio::ip::tcp::socket& socket,
          boost::beast::flat_buffer& buffer,
          std::size_t part);

/// Sets what both sides want of a connected socket.
void prepare(boost::asio::ip::tcp::socket& socket);

/// What a socket has to say without taking a byte from it.
enum class peek_result
{
    nothing,
    data,
    closed,
};

/// Looks at the socket without waiting.
peek_result peek(boost::asio::ip::tcp::socket& socket);

/// Returns the error value of a failed transfer.
error transfer_error(const boost::system::error_code& failure,
                     const deadline& limit);

} // namespace limpet::http
