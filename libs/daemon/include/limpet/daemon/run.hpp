/// \file
/// Threads, signals and graceful shutdown of a program.

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
/// Requests in progress were cut off by a second signal or the time limit.
inline constexpr int exit_cut_off = 3;
/// A later process of the same VM runs.
inline constexpr int exit_superseded = 4;

/// Time between two looks at the settings file, which may change without a
/// signal. Short against the time in which a fleet replaces its VMs.
inline constexpr duration settings_period = seconds(5);

/// Lets a SIGHUP that comes before a runner exists do nothing; it would end the
/// process. Call first in main: the settings are read after it.
void ignore_early_reload();

/// Runs an io_context on several threads until the program has stopped.
/// SIGTERM or SIGINT starts a graceful shutdown; a second one, or the time
/// limit, ends it at once. SIGHUP, or a change of the settings file, calls the
/// function given to watch_settings.
class runner
{
public:
    runner(boost::asio::io_context& context, std::size_t threads);

    /// Starts the drain on the first signal and calls close when it is done.
    using drain_function = std::function<void(std::function<void()>)>;

    /// Runs until the program has stopped and returns its exit code.
    int run(duration drain_limit,
            drain_function drain,
            std::function<void()> close);

    /// Calls the function at each SIGHUP and after each change of the file.
    /// Call before run.
    void watch_settings(const std::string& file,
                        std::function<void()> on_change,
                        duration period = settings_period);

    /// Ends the program at once with the exit code. Thread-safe.
    void stop(int exit_code);

private:
    void wait_for_signal();
    void wait_for_reload();
    void look_at_settings();
    void reload(std::string_view cause);
    void on_signal();
    void finish(int exit_code);

    boost::asio::io_context& m_context;
    std::size_t m_threads;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reload_signal;
    boost::asio::steady_timer m_limit;
    boost::asio::steady_timer m_settings_timer;
    std::string m_settings_file;
    duration m_settings_period = settings_period;
    std::function<void()> m_on_settings;
    std::filesystem::file_time_type m_settings_time;
    duration m_drain_limit{};
    drain_function m_drain;
    std::function<void()> m_close;
    bool m_draining = false;
    std::atomic<bool> m_finished{false};
    std::atomic<int> m_exit_code{exit_ok};
};

} // namespace limpet::daemon
