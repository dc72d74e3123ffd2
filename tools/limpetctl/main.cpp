/// \file
/// limpetctl: submits operators' commands and shows the system's state.

#include <limpet/base/settings_reader.hpp>
#include <limpet/http/client.hpp>
#include <limpet/http/endpoint.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(control, "127.0.0.1:7300", "Operators' address of a control replica");
DEFINE_string(router, "127.0.0.1:7200", "Backends' address of a router, for status");
DEFINE_string(token, "", "Operator's token");
DEFINE_uint64(timeout_ms, 10000, "Time for one request in milliseconds");

namespace {

using namespace limpet;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;

std::variant<http::response, http::request_failure>
call(const std::string& address, http::request request)
{
    const auto endpoint = http::parse_endpoint(address);
    if (!is_ok(endpoint))
    {
        return http::request_failure{error_of(endpoint), false};
    }
    boost::asio::io_context context;
    const auto client = http::client::create({});
    auto answer = boost::asio::co_spawn(
        context,
        client->fetch(
            value_of(endpoint),
            std::move(request),
            milliseconds(FLAGS_timeout_ms),
            max_answer_bytes),
        boost::asio::use_future);
    context.run();
    return answer.get();
}

int print(const std::variant<http::response, http::request_failure>& result)
{
    if (const auto* failure = std::get_if<http::request_failure>(&result))
    {
        std::cerr << "limpetctl: " << failure->reason.message << "\n";
        return exit_failed;
    }
    const auto& answer = std::get<http::response>(result);
    std::cout << answer.body << "\n";
    constexpr unsigned first_error = 300;
    return answer.head.status < first_error ? 0 : exit_failed;
}

int apply(const std::string& file)
{
    const auto document = read_json_file(file);
    if (!is_ok(document))
    {
        std::cerr << "limpetctl: " << error_of(document).message << "\n";
        return exit_usage;
    }
    const boost::json::array commands = value_of(document).is_array()
        ? value_of(document).get_array()
        : boost::json::array{value_of(document)};
    for (const boost::json::value& command : commands)
    {
        http::request request;
        request.method = "POST";
        request.target = "/v1/commands";
        request.headers.set("Authorization", "Bearer " + FLAGS_token);
        request.body = boost::json::serialize(command);
        const int failed = print(call(FLAGS_control, std::move(request)));
        if (failed != 0)
        {
            return failed;
        }
    }
    return 0;
}

int show_status()
{
    http::request request;
    request.method = "GET";
    request.target = "/v1/status";
    return print(call(FLAGS_router, std::move(request)));
}

} // namespace

int main(int argc, char* argv[])
{
    gflags::SetUsageMessage(
        "submits operators' commands and shows the system's state.\n"
        "Usage: limpetctl apply FILE | limpetctl status");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "apply" && argc == 3)
    {
        return apply(argv[2]);
    }
    if (command == "status" && argc == 2)
    {
        return show_status();
    }
    std::cerr << "limpetctl: usage: limpetctl apply FILE | limpetctl status\n";
    return exit_usage;
}
