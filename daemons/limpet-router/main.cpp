/// \file
/// limpet-router: takes callers' requests and serves them with engines.

#include <limpet/base/settings_reader.hpp>
#include <limpet/daemon/run.hpp>
#include <limpet/gateway/gateway.hpp>
#include <limpet/pipeline/router.hpp>
#include <limpet/platform/caller_protocol.hpp>

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

/// Returns the part of the settings for a gateway, or null if the file is for
/// a router of the project's own interface or cannot be read.
const boost::json::value*
find_gateway(const outcome<boost::json::value>& document)
{
    if (!is_ok(document) || !value_of(document).is_object())
    {
        return nullptr;
    }
    return value_of(document).get_object().if_contains("gateway");
}

/// Lets the gateway take over the settings file as it is now.
void reload(gateway::gateway& running)
{
    const auto document = read_json_file(FLAGS_settings);
    const auto* part = find_gateway(document);
    const auto settings =
        part == nullptr
            ? outcome<gateway::gateway_settings>(error{
                  error_code::invalid_argument, "there is no part gateway"})
            : gateway::parse_gateway_settings(*part);
    if (!is_ok(settings))
    {
        log_event(log_level::error,
                  "settings.refused",
                  {{"reason", error_of(settings).message}});
        return;
    }
    running.reload(value_of(settings));
}

/// Runs on one thread, as the platform's machines have one core or less.
int run_gateway(const gateway::gateway_settings& settings)
{
    open_log("limpet-router", settings.log);
    boost::asio::io_context context(1);
    daemon::runner runner(context, 1);
    const platform::caller_protocol language;
    auto created = gateway::gateway::create(context, settings, language);
    if (!is_ok(created))
    {
        std::cerr << "limpet-router: " << error_of(created).message << "\n";
        return daemon::exit_failed;
    }
    gateway::gateway& running = *value_of(created);
    runner.watch_settings(FLAGS_settings,
                          [&running]
                          {
                              reload(running);
                          });
    return runner.run(
        settings.drain_timeout,
        [&running](std::function<void()> on_drained)
        {
            running.drain(std::move(on_drained));
        },
        [&running]
        {
            running.close();
        });
}

int report_bad_settings(const error& reason)
{
    std::cerr << "limpet-router: " << reason.message << "\n";
    return daemon::exit_bad_settings;
}

int report_good_settings()
{
    std::cout << FLAGS_settings << ": ok\n";
    return daemon::exit_ok;
}

} // namespace

int main(int argc, char* argv[])
{
    daemon::ignore_early_reload();
    gflags::SetUsageMessage(
        "stands between callers and model engines.\n"
        "Usage: limpet-router --settings=FILE [--check]\n"
        "SIGTERM ends it after the requests in progress; a second SIGTERM "
        "at once.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto document = read_json_file(FLAGS_settings);
    if (const auto* part = find_gateway(document))
    {
        const auto settings = gateway::parse_gateway_settings(*part);
        if (!is_ok(settings))
        {
            return report_bad_settings(error_of(settings));
        }
        return FLAGS_check ? report_good_settings()
                           : run_gateway(value_of(settings));
    }
    const auto settings = pipeline::read_router_settings(FLAGS_settings);
    if (!is_ok(settings))
    {
        return report_bad_settings(error_of(settings));
    }
    return FLAGS_check ? report_good_settings()
                       : run_router(value_of(settings));
}
