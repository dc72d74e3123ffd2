/// \file
/// HTTP/1.1 server.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace limpet::http
{

/// Bounds on what one caller may cost.
struct server_limits
{
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    /// All requests that are kept at one time, heads and bodies. Those of a few
    /// kilobytes are part of what a connection takes and do not count.
    std::size_t total_request_bytes = 256UL * 1024 * 1024;
    /// If there are as many, a connection without a request ends for the sake
    /// of a new one, or one whose caller is too slow.
    std::size_t connections = 10000;
    /// Time for the head of a request to arrive.
    duration head_timeout = seconds(10);
    /// Time for a request to arrive whole.
    duration receive_timeout = seconds(10);
    /// Time that a connection without a request stays open.
    duration idle_timeout = seconds(60);
    /// Time for the caller to take one written part.
    duration write_timeout = seconds(30);
};

/// What a server's bounds have led to since its start.
struct server_counts
{
    /// Connections that ended for the sake of new ones.
    std::uint64_t ended_connections = 0;
    /// New connections that found no place.
    std::uint64_t refused_connections = 0;
    /// Requests, or parts of them, that found no memory.
    std::uint64_t without_memory = 0;
};

/// One received request and its answer. Used by one coroutine at a time, on
/// the connection's executor.
class exchange
{
public:
    virtual ~exchange() = default;

    /// Returns the request.
    virtual const request& received() const = 0;

    /// Sends the whole answer. Call at most once and not after begin_stream.
    virtual boost::asio::awaitable<status> respond(response answer) = 0;

    /// Sends the head of an answer whose length is not known.
    virtual boost::asio::awaitable<status> begin_stream(response_head head) = 0;

    /// Sends a part of the body. Completes when the socket has taken it, so a
    /// slow caller slows the writer.
    virtual boost::asio::awaitable<status> write(std::string_view bytes) = 0;

    /// Ends the body regularly. A stream that is not ended is cut off, which
    /// the caller can tell from a whole one.
    virtual boost::asio::awaitable<status> end_stream() = 0;

    /// Closes the connection at once, whatever was sent of the answer.
    virtual void cut_off() = 0;

    /// Calls the function once if the caller closes the connection before the
    /// answer's end, also if only the caller's sending side: the two cannot be
    /// told apart. Null removes it.
    virtual void on_caller_gone(std::function<void()> call) = 0;

    /// Counts so many bytes that the handler keeps for the request, besides the
    /// request itself. Returns false if there is no room for them.
    virtual bool add_memory(std::size_t bytes) = 0;

    /// Returns since when the caller has taken no byte of what is being
    /// written, or nothing if nothing is.
    virtual std::optional<time_point> blocked_since() const = 0;
};

/// Accepts connections and hands each request to the handler.
class server
{
public:
    /// Called for each request, on the connection's executor. If it returns
    /// without an answer, the server answers with status 500.
    using handler = std::function<boost::asio::awaitable<void>(exchange&)>;

    /// Makes the answer to a request that is refused before the handler sees
    /// it: malformed, too large, too slow or beyond the limit of connections.
    /// Called from several threads.
    using refusal =
        std::function<response(unsigned status, std::string_view reason)>;

    /// Listens at the endpoint; port 0 picks a free one. Without a refusal
    /// function the reason is sent as plain text. Run the context until
    /// connection_count() is 0 before what the handler uses is destroyed.
    static outcome<std::unique_ptr<server>>
    listen(boost::asio::io_context& context,
           const boost::asio::ip::tcp::endpoint& endpoint,
           const server_limits& limits,
           handler handle,
           refusal refuse = nullptr);

    /// Listens like above and runs all of the server's work on the executor,
    /// such as that of a background_queue.
    static outcome<std::unique_ptr<server>>
    listen(const boost::asio::any_io_executor& executor,
           const boost::asio::ip::tcp::endpoint& endpoint,
           const server_limits& limits,
           handler handle,
           refusal refuse = nullptr);

    virtual ~server() = default;

    /// Returns the address in use.
    virtual boost::asio::ip::tcp::endpoint local_endpoint() const = 0;

    /// Replaces the limits for requests that begin to arrive from now on. The
    /// limits of connections and of all bodies stay. Thread-safe.
    virtual void set_limits(const server_limits& limits) = 0;

    /// Lets each answer from now on end its connection, so that callers go
    /// elsewhere. Still accepts. Thread-safe.
    virtual void wind_down() = 0;

    /// Closes connections that have no request. Thread-safe.
    virtual void close_idle() = 0;

    /// Stops accepting; open connections end after the answer under way.
    /// Thread-safe.
    virtual void stop_accepting() = 0;

    /// Stops accepting and closes all connections at once. Thread-safe.
    virtual void close() = 0;

    /// Counts a request of so many bytes that did not arrive here against
    /// total_request_bytes. Returns null if there is no room, and otherwise
    /// what releases it when it is destroyed. Thread-safe.
    virtual std::shared_ptr<void> claim_memory(std::size_t bytes) = 0;

    /// Returns the number of open connections. Thread-safe.
    virtual std::size_t connection_count() const = 0;

    /// Returns what the bounds have led to. Thread-safe.
    virtual server_counts counts() const = 0;

    /// Returns the number of requests without a complete answer. Thread-safe.
    virtual std::size_t open_request_count() const = 0;
};

} // namespace limpet::http
