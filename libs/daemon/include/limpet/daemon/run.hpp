/// \file
/// Threads, signal handling and graceful shutdown of a daemon.

#pragma once

#include <limpet/base/log.hpp>
#include <limpet/base/units.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <string>
#include <string_view>

namespace limpet::daemon
{

/// Exit codes of the programs.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_settings = 2;
/// A second signal or the drain timeout aborted requests in progress.
inline constexpr int exit_cut_off = 3;
/// A process with a later incarnation of the same VM is running.
inline constexpr int exit_superseded = 4;

/// Interval at which the settings file is checked for changes made without a
/// SIGHUP. Short compared with the time in which a fleet replaces its VMs.
inline constexpr duration settings_check_period = seconds(5);

/// Ignores SIGHUP until a runner exists; the default action would terminate
/// the process. Call first in main: the settings are read afterwards, so a
/// signal ignored before that loses no change.
void ignore_early_reload();

/// Lets the allocator give large blocks back to the system when they are freed.
/// By default it keeps them after the first of their size, beyond all bounds
/// that are set on what is in use. Call first in main.
void configure_allocator();

/// Runs an io_context on several threads until the program stops. SIGTERM or
/// SIGINT starts a graceful shutdown; a second signal or the drain timeout
/// ends it at once. SIGHUP or a change of the settings file calls the function
/// passed to watch_settings. An exception that leaves an event's handler is
/// logged and does not end the program.
class runner
{
public:
    runner(boost::asio::io_context& context, std::size_t threads);

    /// Waits before run, for something that the program needs to start. Returns
    /// false at once if a signal asks the program to stop.
    bool pause(duration span);

    /// Starts draining and calls its argument once the drain is complete.
    using drain_function = std::function<void(std::function<void()>)>;

    /// Runs until the program stops and returns its exit code. drain is called
    /// at the first signal, close when the program stops. drain_limit bounds
    /// the time of the drain.
    int run(duration drain_limit,
            drain_function drain,
            std::function<void()> close);

    /// Calls the function at each SIGHUP and after each change of the file's
    /// modification time, which is checked every period. Call before run.
    void watch_settings(const std::string& file,
                        std::function<void()> on_change,
                        duration period = settings_check_period);

    /// Stops the program without draining and sets the exit code. Thread-safe.
    void stop(int exit_code);

private:
    void wait_for_signal();
    void wait_for_reload();
    void schedule_settings_check();
    void reload(std::string_view cause);
    void on_signal();
    void finish(int exit_code);
    void run_context();

    boost::asio::io_context& m_context;
    std::size_t m_threads;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reload_signal;
    boost::asio::steady_timer m_shutdown_timer;
    boost::asio::steady_timer m_settings_timer;
    std::string m_settings_file;
    duration m_settings_check_period = settings_check_period;
    std::function<void()> m_on_settings_change;
    std::filesystem::file_time_type m_settings_modified_at;
    duration m_drain_limit{};
    drain_function m_drain;
    std::function<void()> m_close;
    bool m_draining = false;
    std::atomic<bool> m_finished{false};
    std::atomic<int> m_exit_code{exit_ok};
};

} // namespace limpet::daemon
