/// \file
/// limpet-router: takes callers' requests and serves them with engines.

#include <limpet/daemon/run.hpp>
#include <limpet/pipeline/router.hpp>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "JSON file with the router's settings; required");
DEFINE_bool(check, false, "Check the settings and exit");

namespace
{

using namespace limpet;

int run_router(const pipeline::router_settings& settings)
{
    open_log("limpet-router", settings.log);
    boost::asio::io_context context;
    daemon::runner runner(context, settings.threads);
    auto created =
        pipeline::router::create(context,
                                 settings,
                                 [&runner]
                                 {
                                     runner.stop(daemon::exit_superseded);
                                 });
    if (!is_ok(created))
    {
        std::cerr << "limpet-router: " << error_of(created).message << "\n";
        return daemon::exit_failed;
    }
    pipeline::router& router = *value_of(created);
    return runner.run(
        settings.drain_timeout,
        [&router](std::function<void()> on_drained)
        {
            router.drain(std::move(on_drained));
        },
        [&router]
        {
            router.close();
        });
}

} // namespace

int main(int argc, char* argv[])
{
    gflags::SetUsageMessage(
        "stands between callers and model engines.\n"
        "Usage: limpet-router --settings=FILE [--check]\n"
        "SIGTERM ends it after the requests in progress; a second SIGTERM "
        "at once.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = pipeline::read_router_settings(FLAGS_settings);
    if (!is_ok(settings))
    {
        std::cerr << "limpet-router: " << error_of(settings).message << "\n";
        return daemon::exit_bad_settings;
    }
    if (FLAGS_check)
    {
        std::cout << FLAGS_settings << ": ok\n";
        return 0;
    }
    return run_router(value_of(settings));
}
