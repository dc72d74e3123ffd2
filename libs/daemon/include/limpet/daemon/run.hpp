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
#include <functional>

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

/// Runs an io_context on several threads until the program has stopped.
/// SIGTERM or SIGINT starts a graceful shutdown; a second one, or the time
/// limit, ends it at once. SIGHUP is logged and changes nothing: settings are
/// read at the start.
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

    /// Ends the program at once with the exit code. Thread-safe.
    void stop(int exit_code);

private:
    void wait_for_signal();
    void wait_for_reload();
    void on_signal();
    void finish(int exit_code);

    boost::asio::io_context& m_context;
    std::size_t m_threads;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reload_signal;
    boost::asio::steady_timer m_limit;
    duration m_drain_limit{};
    drain_function m_drain;
    std::function<void()> m_close;
    bool m_draining = false;
    std::atomic<bool> m_finished{false};
    std::atomic<int> m_exit_code{exit_ok};
};

} // namespace limpet::daemon
