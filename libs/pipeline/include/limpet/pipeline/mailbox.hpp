/// \file
/// Queue that passes values from callbacks to one coroutine.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace limpet::pipeline
{

/// Single-consumer queue for a coroutine. push may be called from any thread.
/// pop may be called by only one coroutine on the executor, which must be a
/// strand or run on a single thread. Must be held by a shared_ptr.
template <class T>
class mailbox : public std::enable_shared_from_this<mailbox<T>>
{
public:
    explicit mailbox(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor)),
          m_signal(m_executor)
    {
    }

    /// Appends a value and wakes the waiting coroutine.
    void push(T value)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_values.push_back(std::move(value));
            if (!std::exchange(m_waiting, false))
            {
                return;
            }
        }
        boost::asio::post(m_executor,
                          [self = this->shared_from_this()]
                          {
                              self->m_signal.cancel();
                          });
    }

    /// Returns the next value, or nothing if none arrives by the deadline.
    boost::asio::awaitable<std::optional<T>> pop(time_point deadline)
    {
        for (;;)
        {
            if (std::optional<T> value = try_pop())
            {
                co_return value;
            }
            const duration remaining = deadline - monotonic_clock::now();
            if (remaining <= duration::zero())
            {
                co_return std::nullopt;
            }
            m_signal.expires_after(remaining);
            boost::system::error_code ignored;
            co_await m_signal.async_wait(boost::asio::redirect_error(
                boost::asio::use_awaitable, ignored));
        }
    }

private:
    std::optional<T> try_pop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_values.empty())
        {
            m_waiting = true;
            return std::nullopt;
        }
        m_waiting = false;
        std::optional<T> value(std::move(m_values.front()));
        m_values.pop_front();
        return value;
    }

    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_signal;
    std::mutex m_mutex;
    std::deque<T> m_values;
    bool m_waiting = false;
};

} // namespace limpet::pipeline
