/// \file
/// An io_context with one thread.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace limpet::local_fleet
{

/// Runs a context on a thread of its own until stop.
class context_thread
{
public:
    context_thread();
    ~context_thread();

    context_thread(const context_thread&) = delete;
    context_thread& operator=(const context_thread&) = delete;

    boost::asio::io_context& context() noexcept
    {
        return m_context;
    }

    /// Ends the thread. Handlers that have not run are dropped with the
    /// context.
    void stop();

    /// Returns the processor time that the thread has taken.
    duration processor_time();

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work;
    std::thread m_thread;
};

} // namespace limpet::local_fleet
