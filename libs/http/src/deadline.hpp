/// \file
/// Timeout of one socket.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace limpet::http
{

/// Closes a socket when its time has passed. Moving the deadline later costs
/// no timer operation: the timer looks at the deadline only when it fires. Use
/// on the executor only.
class deadline : public std::enable_shared_from_this<deadline>
{
public:
    /// The socket must live until detach.
    deadline(const boost::asio::any_io_executor& executor,
             boost::asio::ip::tcp::socket& socket);

    void expires_after(duration timeout);
    /// Ends what is under way at the socket, but leaves it open for an answer.
    void cancels_after(duration timeout);
    void expires_never();

    /// Returns whether the socket was closed because the time had passed.
    bool passed() const noexcept
    {
        return m_passed;
    }

    /// Returns whether an operation was cancelled because the time had passed.
    bool has_cancelled() const noexcept
    {
        return m_has_cancelled;
    }

    /// Ends the use of the socket.
    void detach();

private:
    using clock = std::chrono::steady_clock;

    void arm();
    void on_timer(std::uint64_t wait);

    boost::asio::ip::tcp::socket* m_socket;
    boost::asio::steady_timer m_timer;
    clock::time_point m_when = clock::time_point::max();
    clock::time_point m_armed_for = clock::time_point::max();
    std::uint64_t m_wait = 0;
    bool m_cancels = false;
    bool m_passed = false;
    bool m_has_cancelled = false;
};

} // namespace limpet::http
