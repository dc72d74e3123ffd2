#include <limpet/daemon/run.hpp>

#include <boost/asio/post.hpp>

#include <csignal>
#include <exception>
#include <malloc.h>
#include <thread>
#include <vector>

namespace limpet::daemon
{

namespace net = boost::asio;

namespace
{

/// Time for connections to finish closing before the io_context is stopped.
constexpr duration close_grace_period = milliseconds(500);

} // namespace

void ignore_early_reload()
{
    std::signal(SIGHUP, SIG_IGN);
}

void configure_allocator()
{
    // Larger than what requests of usual size take.
    constexpr int large_block_bytes = 256 * 1024;
    // Fails for sizes beyond the allocator's highest only.
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

runner::runner(net::io_context& context, std::size_t threads)
    : m_context(context),
      m_threads(threads),
      m_strand(net::make_strand(context)),
      m_signals(m_strand, SIGTERM, SIGINT),
      m_reload_signal(m_strand, SIGHUP),
      m_shutdown_timer(m_strand),
      m_settings_timer(m_strand)
{
}

int runner::run(duration drain_limit,
                drain_function drain,
                std::function<void()> close)
{
    m_drain_limit = drain_limit;
    m_drain = std::move(drain);
    m_close = std::move(close);
    wait_for_signal();
    wait_for_reload();
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < m_threads; ++i)
    {
        threads.emplace_back(
            [this]
            {
                run_context();
            });
    }
    run_context();
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return m_exit_code;
}

void runner::run_context()
{
    for (;;)
    {
        try
        {
            m_context.run();
            return;
        }
        catch (const std::exception& failure)
        {
            log_event(log_level::error,
                      "handler.failed",
                      {{"reason", failure.what()}});
        }
    }
}

bool runner::pause(duration span)
{
    bool is_stopped = false;
    m_signals.async_wait(
        [this, &is_stopped](boost::system::error_code cancelled, int)
        {
            is_stopped = !cancelled;
            m_shutdown_timer.cancel();
        });
    m_shutdown_timer.expires_after(span);
    m_shutdown_timer.async_wait(
        [this](boost::system::error_code)
        {
            boost::system::error_code ignored;
            m_signals.cancel(ignored);
        });
    m_context.run();
    m_context.restart();
    return !is_stopped;
}

void runner::stop(int exit_code)
{
    net::post(m_strand,
              [this, exit_code]
              {
                  finish(exit_code);
              });
}

void runner::wait_for_signal()
{
    m_signals.async_wait(
        [this](boost::system::error_code cancelled, int)
        {
            if (!cancelled)
            {
                on_signal();
            }
        });
}

void runner::wait_for_reload()
{
    m_reload_signal.async_wait(
        [this](boost::system::error_code cancelled, int)
        {
            if (!cancelled)
            {
                reload("signal");
                wait_for_reload();
            }
        });
}

void runner::watch_settings(const std::string& file,
                            std::function<void()> on_change,
                            duration period)
{
    m_settings_file = file;
    m_settings_check_period = period;
    m_on_settings_change = std::move(on_change);
    std::error_code ignored;
    m_settings_modified_at = std::filesystem::last_write_time(file, ignored);
    schedule_settings_check();
}

void runner::schedule_settings_check()
{
    m_settings_timer.expires_after(m_settings_check_period);
    m_settings_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (cancelled || m_finished)
            {
                return;
            }
            std::error_code failure;
            const auto changed =
                std::filesystem::last_write_time(m_settings_file, failure);
            // A file that is missing while being replaced is checked again at
            // the next period.
            if (!failure && changed != m_settings_modified_at)
            {
                m_settings_modified_at = changed;
                reload("file changed");
            }
            schedule_settings_check();
        });
}

void runner::reload(std::string_view cause)
{
    log_event(log_level::info, "program.reload", {{"cause", cause}});
    if (m_on_settings_change)
    {
        m_on_settings_change();
    }
}

void runner::on_signal()
{
    if (m_draining)
    {
        finish(exit_cut_off);
        return;
    }
    m_draining = true;
    wait_for_signal();
    m_shutdown_timer.expires_after(m_drain_limit);
    m_shutdown_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                finish(exit_cut_off);
            }
        });
    m_drain(
        [this]
        {
            stop(exit_ok);
        });
}

void runner::finish(int exit_code)
{
    if (m_finished.exchange(true))
    {
        return;
    }
    m_exit_code = exit_code;
    log_event(log_level::info, "program.end", {{"exit_code", exit_code}});
    m_close();
    boost::system::error_code ignored;
    m_signals.cancel(ignored);
    m_reload_signal.cancel(ignored);
    m_settings_timer.cancel();
    m_shutdown_timer.expires_after(close_grace_period);
    m_shutdown_timer.async_wait(
        [this](boost::system::error_code)
        {
            m_context.stop();
        });
}

} // namespace limpet::daemon
