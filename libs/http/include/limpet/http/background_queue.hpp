/// \file
/// Runs work of an event loop that can wait.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>

namespace limpet::http
{

/// Runs functions on the thread of an io_context, one in each turn of its event
/// loop. Everything else that is ready runs in between, so that a queue of any
/// length delays it by one function. There is one queue for each io_context,
/// which must be run by one thread.
class background_queue final : public boost::asio::io_context::service
{
public:
    class executor_type;

    // Required of a service.
    static boost::asio::io_context::id id;

    explicit background_queue(boost::asio::io_context& context);

    /// Returns the executor of the context's queue.
    static boost::asio::any_io_executor of(boost::asio::io_context& context);

private:
    void shutdown() override;
    void add(std::function<void()> call);
    void schedule();
    void run_next();

    boost::asio::io_context& m_context;
    std::deque<std::function<void()>> m_calls;
    bool m_is_scheduled = false;
    bool m_is_shut_down = false;
};

} // namespace limpet::http
