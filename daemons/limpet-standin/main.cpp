/// \file
/// limpet-standin: simulated engines and plain services for tests and
/// benchmarks.

#include <limpet/daemon/run.hpp>
#include <limpet/standin/server_group.hpp>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "JSON file with the servers' settings; required");
DEFINE_bool(check, false, "Check the settings and exit");

namespace
{

using namespace limpet;

int run_standin(const standin::standin_settings& settings)
{
    open_log("limpet-standin", settings.lowest_log_level);
    boost::asio::io_context context;
    daemon::runner runner(context, settings.threads);
    auto created = standin::server_group::create(context, settings);
    if (!is_ok(created))
    {
        std::cerr << "limpet-standin: " << error_of(created).message << "\n";
        return daemon::exit_failed;
    }
    standin::server_group& servers = *value_of(created);
    return runner.run(
        settings.drain_limit,
        [&servers](std::function<void()> on_drained)
        {
            servers.drain(std::move(on_drained));
        },
        [&servers]
        {
            servers.close();
        });
}

} // namespace

int main(int argc, char* argv[])
{
    gflags::SetUsageMessage(
        "runs simulated model engines and plain services that register with "
        "routers.\n"
        "Usage: limpet-standin --settings=FILE [--check]\n"
        "SIGTERM drains the requests in progress, then exits; a second "
        "SIGTERM exits at once.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = standin::read_standin_settings(FLAGS_settings);
    if (!is_ok(settings))
    {
        std::cerr << "limpet-standin: " << error_of(settings).message << "\n";
        return daemon::exit_bad_settings;
    }
    if (FLAGS_check)
    {
        std::cout << FLAGS_settings << ": ok\n";
        return daemon::exit_ok;
    }
    return run_standin(value_of(settings));
}
