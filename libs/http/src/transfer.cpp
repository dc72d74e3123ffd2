#include "transfer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace limpet::http
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

std::size_t size_of(const write_parts& parts)
{
    return boost::asio::buffer_size(parts);
}

void consume(write_parts& parts, std::size_t count)
{
    for (boost::asio::const_buffer& part : parts)
    {
        const std::size_t taken = std::min(count, part.size());
        part += taken;
        count -= taken;
    }
}

bool would_block(const boost::system::error_code& failure)
{
    return failure == boost::asio::error::would_block ||
           failure == boost::asio::error::try_again;
}

} // namespace

boost::asio::awaitable<write_result>
write_all(boost::asio::ip::tcp::socket& socket,
          deadline& limit,
          duration timeout,
          write_parts parts,
          std::function<void(std::size_t)> on_progress)
{
    write_result result;
    result.written = socket.write_some(parts, result.failure);
    if (would_block(result.failure))
    {
        result.failure = {};
    }
    consume(parts, result.written);
    bool waiting = false;
    while (!result.failure && size_of(parts) > 0)
    {
        if (!waiting)
        {
            limit.expires_after(timeout);
            waiting = true;
        }
        const auto [failure, count] =
            co_await socket.async_write_some(parts, as_result);
        result.failure = failure;
        result.written += count;
        consume(parts, count);
        if (on_progress && count > 0)
        {
            on_progress(count);
        }
    }
    if (waiting)
    {
        limit.expires_never();
    }
    co_return result;
}

boost::asio::awaitable<boost::system::error_code>
read_more(boost::asio::ip::tcp::socket& socket,
          boost::beast::flat_buffer& buffer,
          std::size_t part)
{
    const auto space = buffer.prepare(part);
    const auto [failure, count] =
        co_await socket.async_read_some(space, as_result);
    buffer.commit(count);
    co_return failure;
}

void prepare(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

peek_result peek(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failure;
    const std::size_t count =
        socket.receive(boost::asio::buffer(&byte, 1),
                       boost::asio::socket_base::message_peek,
                       failure);
    if (would_block(failure))
    {
        return peek_result::nothing;
    }
    return failure || count == 0 ? peek_result::closed : peek_result::data;
}

error transfer_error(const boost::system::error_code& failure,
                     const deadline& limit)
{
    if (limit.passed())
    {
        return {error_code::timeout, "the peer took too long"};
    }
    if (failure == boost::asio::error::operation_aborted)
    {
        return {error_code::cancelled, "the connection was closed"};
    }
    if (failure == boost::asio::error::timed_out)
    {
        return {error_code::unavailable, "the peer's machine does not answer"};
    }
    return {error_code::io_error, failure.message()};
}

} // namespace limpet::http
