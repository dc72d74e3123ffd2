/// \file
/// limpet-control: replica of the control group, which stores the configuration
/// and claims replicated and durably.

#include <limpet/control/control_server.hpp>
#include <limpet/daemon/run.hpp>
#include <limpet/platform/control_interface.hpp>
#include <limpet/replica/replica.hpp>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "JSON file with the replica's settings; required");
DEFINE_bool(check, false, "Check the settings and exit");

namespace
{

using namespace limpet;

/// Rereads the settings file and applies it to the running replica. An invalid
/// file is logged and leaves the current settings in effect.
void reload(control::control_server& server)
{
    const auto settings = control::read_control_settings(FLAGS_settings);
    if (!is_ok(settings))
    {
        log_event(log_level::error,
                  "settings.refused",
                  {{"reason", error_of(settings).message}});
        return;
    }
    server.reload(value_of(settings));
}

/// Interval between attempts to open the storage, and between the log lines of
/// the attempts.
constexpr duration storage_retry_interval = milliseconds(500);
constexpr duration storage_log_interval = seconds(10);

/// Waits until the data folder can be opened: its disk may be full for a while,
/// and an operator may empty a damaged folder. Returns false if the program is
/// asked to stop meanwhile.
bool wait_for_storage(const std::string& folder, daemon::runner& runner)
{
    time_point next_log{};
    for (;;)
    {
        const status checked = replica::check_storage(folder);
        if (is_ok(checked))
        {
            return true;
        }
        const time_point now = monotonic_clock::now();
        if (now >= next_log)
        {
            next_log = now + storage_log_interval;
            log_event(
                log_level::error,
                "storage.unavailable",
                {{"folder", folder}, {"reason", error_of(checked).message}});
        }
        if (!runner.pause(storage_retry_interval))
        {
            return false;
        }
    }
}

int run_control(const control::control_settings& settings)
{
    open_log("limpet-control", settings.log);
    boost::asio::io_context context;
    daemon::runner runner(context, 1);
    if (!wait_for_storage(settings.data_folder, runner))
    {
        return daemon::exit_ok;
    }
    auto created = control::control_server::create(
        context, settings, platform::make_control_interface);
    if (!is_ok(created))
    {
        std::cerr << "limpet-control: " << error_of(created).message << "\n";
        return daemon::exit_failed;
    }
    control::control_server& server = *value_of(created);
    runner.watch_settings(FLAGS_settings,
                          [&server]
                          {
                              reload(server);
                          });
    return runner.run(
        settings.drain_timeout,
        [&server](std::function<void()> on_drained)
        {
            server.drain(std::move(on_drained));
        },
        [&server]
        {
            server.close();
        });
}

} // namespace

int main(int argc, char* argv[])
{
    daemon::ignore_early_reload();
    daemon::configure_allocator();
    gflags::SetUsageMessage(
        "stores the configuration and claims, replicated and durable.\n"
        "Usage: limpet-control --settings=FILE [--check]\n"
        "SIGTERM transfers leadership, then exits; a second SIGTERM exits "
        "at once.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = control::read_control_settings(FLAGS_settings);
    if (!is_ok(settings))
    {
        std::cerr << "limpet-control: " << error_of(settings).message << "\n";
        return daemon::exit_bad_settings;
    }
    if (FLAGS_check)
    {
        std::cout << FLAGS_settings << ": ok\n";
        return 0;
    }
    return run_control(value_of(settings));
}
