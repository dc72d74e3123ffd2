#include <limpet/http/background_queue.hpp>

#include <boost/asio/post.hpp>

#include <memory>
#include <utility>

namespace limpet::http
{

namespace net = boost::asio;

/// Adds functions to the queue, and never runs one while adding it.
class background_queue::executor_type
{
public:
    explicit executor_type(background_queue& queue) noexcept
        : m_queue(&queue)
    {
    }

    net::execution_context& query(net::execution::context_t) const noexcept
    {
        return m_queue->m_context;
    }

    static constexpr net::execution::blocking_t::never_t
    query(net::execution::blocking_t) noexcept
    {
        return net::execution::blocking.never;
    }

    template <class Function>
    void execute(Function function) const
    {
        // Functions that can only be moved are shared, as std::function copies.
        m_queue->add(
            [shared = std::make_shared<Function>(std::move(function))]
            {
                std::move (*shared)();
            });
    }

    friend bool operator==(const executor_type& a,
                           const executor_type& b) noexcept
    {
        return a.m_queue == b.m_queue;
    }

    friend bool operator!=(const executor_type& a,
                           const executor_type& b) noexcept
    {
        return !(a == b);
    }

private:
    background_queue* m_queue;
};

net::io_context::id background_queue::id;

background_queue::background_queue(net::io_context& context)
    : net::io_context::service(context),
      m_context(context)
{
}

net::any_io_executor background_queue::of(net::io_context& context)
{
    return executor_type(net::use_service<background_queue>(context));
}

void background_queue::shutdown()
{
    m_is_shut_down = true;
    // Destroying a function may add another one.
    while (!m_calls.empty())
    {
        const std::function<void()> last = std::move(m_calls.front());
        m_calls.pop_front();
    }
}

void background_queue::add(std::function<void()> call)
{
    if (m_is_shut_down)
    {
        return;
    }
    m_calls.push_back(std::move(call));
    schedule();
}

void background_queue::schedule()
{
    if (m_calls.empty() || std::exchange(m_is_scheduled, true))
    {
        return;
    }
    net::post(m_context,
              [this]
              {
                  run_next();
              });
}

void background_queue::run_next()
{
    const std::function<void()> next = std::move(m_calls.front());
    m_calls.pop_front();
    m_is_scheduled = false;
    schedule();
    next();
}

} // namespace limpet::http
