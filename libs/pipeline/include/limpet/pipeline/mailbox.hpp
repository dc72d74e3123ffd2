/// \file
/// Queue between callbacks and one coroutine.

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

/// Hands values to one coroutine that waits for them. push may be called from
/// any thread; pop only by one coroutine on the executor, which must be a
/// strand or run on one thread. Held by shared_ptr.
template <class T>
class mailbox : public std::enable_shared_from_this<mailbox<T>>
{
public:
    explicit mailbox(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor)),
          m_signal(m_executor)
    {
    }

    /// Adds a value and wakes the waiting coroutine.
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

    /// Returns the next value, or nothing when the time has passed.
    boost::asio::awaitable<std::optional<T>> pop(time_point until)
    {
        for (;;)
        {
            if (std::optional<T> value = try_pop())
            {
                co_return value;
            }
            const duration left = until - monotonic_clock::now();
            if (left <= duration::zero())
            {
                co_return std::nullopt;
            }
            m_signal.expires_after(left);
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
