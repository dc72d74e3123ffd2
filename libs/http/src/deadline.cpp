#include "deadline.hpp"

namespace limpet::http
{

deadline::deadline(const boost::asio::any_io_executor& executor,
                   boost::asio::ip::tcp::socket& socket)
    : m_socket(&socket),
      m_timer(executor)
{
}

void deadline::cancels_after(duration timeout)
{
    expires_after(timeout);
    m_cancels = true;
    m_has_cancelled = false;
}

void deadline::expires_after(duration timeout)
{
    m_cancels = false;
    m_when = clock::now() + timeout;
    if (m_when < m_armed_for)
    {
        arm();
    }
}

void deadline::expires_never()
{
    m_when = clock::time_point::max();
}

void deadline::detach()
{
    m_socket = nullptr;
    m_timer.cancel();
}

void deadline::arm()
{
    m_armed_for = m_when;
    m_timer.expires_at(m_when);
    m_timer.async_wait(
        [self = shared_from_this(), wait = ++m_wait](const auto&)
        {
            self->on_timer(wait);
        });
}

void deadline::on_timer(std::uint64_t wait)
{
    if (m_socket == nullptr || wait != m_wait)
    {
        return;
    }
    m_armed_for = clock::time_point::max();
    if (m_when == clock::time_point::max())
    {
        return;
    }
    if (clock::now() < m_when)
    {
        arm();
        return;
    }
    boost::system::error_code ignored;
    if (m_cancels)
    {
        m_has_cancelled = true;
        m_when = clock::time_point::max();
        m_socket->cancel(ignored);
        return;
    }
    m_passed = true;
    m_socket->close(ignored);
}

} // namespace limpet::http
