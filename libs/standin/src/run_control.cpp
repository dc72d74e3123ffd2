#include "run_control.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace limpet::standin
{

namespace
{

constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace

run_control::run_control(const boost::asio::any_io_executor& executor)
    : m_timer(executor),
      m_last(std::chrono::steady_clock::now())
{
}

boost::asio::awaitable<bool> run_control::wait(duration time)
{
    if (m_stop_outcome == run_outcome::running && time > duration::zero())
    {
        m_last += time;
        m_timer.expires_at(m_last);
        co_await m_timer.async_wait(as_result);
    }
    co_return m_stop_outcome == run_outcome::running;
}

boost::asio::awaitable<void> run_control::wait_for_stop()
{
    while (m_stop_outcome == run_outcome::running)
    {
        m_timer.expires_at(boost::asio::steady_timer::time_point::max());
        co_await m_timer.async_wait(as_result);
    }
}

void run_control::stop(run_outcome outcome)
{
    if (m_stop_outcome == run_outcome::running)
    {
        m_stop_outcome = outcome;
        m_timer.cancel();
    }
}

void run_control::post_stop(run_outcome outcome)
{
    boost::asio::post(m_timer.get_executor(),
                      [self = shared_from_this(), outcome]
                      {
                          self->stop(outcome);
                      });
}

} // namespace limpet::standin
