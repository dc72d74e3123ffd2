#include "wait_for.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace limpet::pipeline
{

namespace net = boost::asio;

net::awaitable<void> wait_for(duration delay)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

} // namespace limpet::pipeline
