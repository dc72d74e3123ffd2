/// \file
/// HTTP/1.1 client with kept connections.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace limpet::http
{

/// Bounds on what one server may cost.
struct client_limits
{
    std::size_t header_bytes = 16UL * 1024;
    duration connect_timeout = seconds(2);
    /// Time for which the server's machine may be silent before a connection
    /// ends, as options_for_silence() says; 0 for the system's. A server that
    /// is merely slow does not count.
    duration silence_timeout{};
    /// Longest time for the next part of an answer's body to arrive.
    duration read_timeout = seconds(30);
    /// Time that a connection opened after an answer without length and chunks
    /// must last to show that the server lives on: the time within which the
    /// system closes all sockets of a server that ends.
    duration server_end_time = milliseconds(100);
    std::size_t idle_connections_per_endpoint = 32;
    /// Longest time that a connection is kept without a request. Shorter than
    /// the servers' own, so that they seldom close it first.
    duration idle_timeout = seconds(20);
};

/// Failure of a request.
struct request_failure
{
    error reason;
    /// Whether a byte of the request may have reached the server. If not, the
    /// request has certainly not run.
    bool may_have_reached_server = true;
};

/// What marks the end of an answer's body.
enum class body_delimiter
{
    length, ///< Its announced length, also of an answer without a body.
    chunks, ///< The last chunk.
    /// The regular end of the connection, of a server that lives on: the
    /// system closes the connections of a killed process regularly, too.
    connection,
};

std::string_view to_string(body_delimiter delimiter) noexcept;

/// An answer whose body is read in parts. Its connection is kept for other
/// requests when read_some() returns the body's end, or when it is destroyed
/// after the whole body has arrived; destroying it earlier closes the
/// connection.
class response_stream
{
public:
    virtual ~response_stream() = default;

    virtual const response_head& head() const = 0;

    virtual body_delimiter delimiter() const = 0;

    /// Whether no request was sent over the connection before this one. If one
    /// was, the answer may be a late copy of an earlier answer.
    virtual bool is_first_on_connection() const = 0;

    /// Returns the next part of the body, nothing at its regular end, or an
    /// error if it was cut off or took too long. Where the connection delimits
    /// the body, its end is regular only if another connection to the
    /// server lasts afterwards.
    virtual boost::asio::awaitable<outcome<std::optional<std::string>>>
    read_some() = 0;

    /// Replaces the client's read timeout for the reads that follow.
    virtual void set_read_timeout(duration timeout) = 0;

    /// Ends a pending read with error_code::cancelled and closes the
    /// connection, also if the whole body has arrived but its end was not read.
    /// Call on the executor of the reader.
    virtual void cancel() = 0;
};

/// Ends a send that has not returned yet. Used on the executor of the sender
/// and must outlive the send.
class send_canceller
{
public:
    /// Lets the send return error_code::cancelled. A send that begins later
    /// returns it at once, and its request has not reached the server.
    void cancel();

private:
    friend class cancel_scope;

    std::function<void()> m_call;
    bool m_cancelled = false;
};

/// Sends requests. Safe to use by several coroutines of several threads, all
/// of one io_context, which must outlive the client: it keeps connections.
class client
{
public:
    static std::shared_ptr<client> create(const client_limits& limits);

    virtual ~client() = default;

    /// Sends the request and returns the answer once its head has arrived.
    /// A kept connection that turns out closed before a byte of the request
    /// was written is replaced; nothing else is retried. The head must arrive
    /// within the timeout.
    virtual boost::asio::awaitable<
        std::variant<std::unique_ptr<response_stream>, request_failure>>
    send(boost::asio::ip::tcp::endpoint server,
         request message,
         duration head_timeout,
         send_canceller* canceller = nullptr) = 0;

    /// Sends the request and reads the whole answer, at most max_body bytes.
    boost::asio::awaitable<std::variant<response, request_failure>>
    fetch(boost::asio::ip::tcp::endpoint server,
          request message,
          duration timeout,
          std::size_t max_body);
};

} // namespace limpet::http
