/// \file
/// limpet-router: accepts callers' requests and forwards them to engines or
/// backend servers.

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

/// Returns the `gateway` section of the settings, or null if the file cannot be
/// read or has no such section, which is how a file configures a router that
/// serves the project's own interface.
const boost::json::value*
find_gateway_section(const outcome<boost::json::value>& document)
{
    if (!is_ok(document) || !value_of(document).is_object())
    {
        return nullptr;
    }
    return value_of(document).get_object().if_contains("gateway");
}

/// Rereads the settings file and applies it to the running gateway. An invalid
/// file is logged and leaves the current settings in effect.
void reload(gateway::gateway& running)
{
    const auto document = read_json_file(FLAGS_settings);
    const auto* section = find_gateway_section(document);
    const auto settings = section == nullptr
                              ? outcome<gateway::gateway_settings>(error{
                                    error_code::invalid_argument,
                                    "the settings have no section 'gateway'"})
                              : gateway::parse_gateway_settings(*section);
    if (!is_ok(settings))
    {
        log_event(log_level::error,
                  "settings.refused",
                  {{"reason", error_of(settings).message}});
        return;
    }
    running.reload(value_of(settings));
}

/// Runs the gateway on one thread, since the platform's VMs have at most one
/// core.
int run_gateway(const gateway::gateway_settings& settings)
{
    open_log("limpet-router", settings.log);
    boost::asio::io_context context(1);
    daemon::runner runner(context, 1);
    const platform::caller_protocol protocol;
    auto created = gateway::gateway::create(context, settings, protocol);
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

int report_invalid_settings(const error& reason)
{
    std::cerr << "limpet-router: " << reason.message << "\n";
    return daemon::exit_bad_settings;
}

int report_valid_settings()
{
    std::cout << FLAGS_settings << ": ok\n";
    return daemon::exit_ok;
}

} // namespace

int main(int argc, char* argv[])
{
    daemon::ignore_early_reload();
    daemon::configure_allocator();
    gflags::SetUsageMessage(
        "routes callers' requests to model engines.\n"
        "Usage: limpet-router --settings=FILE [--check]\n"
        "SIGTERM drains the requests in progress, then exits; a second "
        "SIGTERM exits at once.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto document = read_json_file(FLAGS_settings);
    if (const auto* section = find_gateway_section(document))
    {
        const auto settings = gateway::parse_gateway_settings(*section);
        if (!is_ok(settings))
        {
            return report_invalid_settings(error_of(settings));
        }
        return FLAGS_check ? report_valid_settings()
                           : run_gateway(value_of(settings));
    }
    const auto settings = pipeline::read_router_settings(FLAGS_settings);
    if (!is_ok(settings))
    {
        return report_invalid_settings(error_of(settings));
    }
    return FLAGS_check ? report_valid_settings()
                       : run_router(value_of(settings));
}
