/// \file
/// Adapts callback-based functions to coroutines.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace limpet::control
{

/// Calls `start` with a completion callback and returns the callback's
/// argument. The callback must be called exactly once, including during
/// shutdown.
template <class T>
boost::asio::awaitable<T>
await_callback(std::function<void(std::function<void(T)>)> start)
{
    const boost::asio::any_io_executor executor =
        co_await boost::asio::this_coro::executor;
    const auto initiate = [executor, &start](auto handler)
    {
        const auto shared =
            std::make_shared<decltype(handler)>(std::move(handler));
        start(
            [executor, shared](T result)
            {
                boost::asio::post(executor,
                                  [shared, value = std::move(result)]() mutable
                                  {
                                      (*shared)(std::move(value));
                                  });
            });
    };
    co_return co_await boost::asio::
        async_initiate<const boost::asio::use_awaitable_t<>, void(T)>(
            initiate, boost::asio::use_awaitable);
}

} // namespace limpet::control
