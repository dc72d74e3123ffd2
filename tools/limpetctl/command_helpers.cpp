#include "command_helpers.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace limpet::ctl
{

namespace
{

constexpr duration poll_period = milliseconds(200);
constexpr std::size_t operation_bytes = 12;
constexpr unsigned not_found = 404;

exit_code exit_code_of(error_code code)
{
    switch (code)
    {
    case error_code::conflict:
        return exit_code::conflict;
    case error_code::invalid_argument:
    case error_code::malformed:
    case error_code::not_found:
    case error_code::unauthenticated:
    case error_code::forbidden:
        return exit_code::refused;
    default:
        return exit_code::failed;
    }
}

/// Prints the result of a command.
exit_code print_result(const config::command& order,
                       const config::command_result& result)
{
    const std::string target = to_string(config::target_of(order.what));
    if (const auto* done = std::get_if<config::accepted>(&result))
    {
        std::cout << target << " accepted at revision " << done->number.get()
                  << "\n";
        return exit_code::success;
    }
    const auto& refusal = std::get<config::rejected>(result);
    std::cerr << "limpetctl: " << target << " refused: ";
    if (!refusal.field.empty())
    {
        std::cerr << refusal.field << ": ";
    }
    std::cerr << refusal.reason << "\n";
    if (refusal.winner)
    {
        std::cerr << "limpetctl: it was changed by operator "
                  << refusal.winner->author.get() << " at revision "
                  << refusal.winner->number.get()
                  << "; look at it with show or diff and submit again\n";
    }
    return exit_code_of(refusal.code);
}

/// Returns a description of each data centre that has not reached the
/// revision, with its lagging VMs.
std::vector<std::string> lagging_data_centres(const boost::json::value& body,
                                              std::uint64_t revision)
{
    std::vector<std::string> out;
    for (const auto& each : body.at("data_centres").as_array())
    {
        if (each.at("revision").to_number<std::uint64_t>() >= revision)
        {
            continue;
        }
        std::string text(each.at("data_centre").as_string());
        text += " at revision ";
        text += boost::json::serialize(each.at("revision"));
        text += each.at("silent").as_bool() ? " (silent)" : "";
        for (const auto& vm : each.at("lagging").as_array())
        {
            text += " ";
            text += std::string(vm.as_string());
        }
        out.push_back(std::move(text));
    }
    return out;
}

} // namespace

exit_code fail(exit_code code, std::string_view message)
{
    std::cerr << "limpetctl: " << message << "\n";
    return code;
}

exit_code fail(const error& reason)
{
    return fail(exit_code_of(reason.code), reason.message);
}

exit_code fail(const answer& received)
{
    const auto* body = received.body.if_object();
    const auto* detail = body == nullptr ? nullptr : body->if_contains("error");
    const auto* fields = detail == nullptr ? nullptr : detail->if_object();
    const auto* message =
        fields == nullptr ? nullptr : fields->if_contains("message");
    const std::string text = message != nullptr && message->is_string()
                                 ? std::string(message->get_string())
                                 : "status " + std::to_string(received.status);
    constexpr unsigned bad_request = 400;
    constexpr unsigned conflict = 409;
    constexpr unsigned server_error = 500;
    if (received.status == conflict)
    {
        return fail(exit_code::conflict, text);
    }
    const bool refused =
        received.status >= bad_request && received.status < server_error;
    return fail(refused ? exit_code::refused : exit_code::failed, text);
}

std::optional<config::object_kind> parse_kind(std::string text)
{
    std::replace(text.begin(), text.end(), '-', '_');
    return config::parse_object_kind(text);
}

operation_id new_operation()
{
    return operation_id("ctl-" + random_hex(operation_bytes));
}

config::command make_command(config::change what, std::uint64_t expected)
{
    config::command out;
    out.operation = new_operation();
    out.expected = revision(expected);
    out.what = std::move(what);
    return out;
}

std::variant<std::optional<config::object_in_force>, exit_code>
fetch_object(command_context& context, const config::object_key& key)
{
    const outcome<answer> received = context.control.get(
        "/v1/objects/" + std::string(to_string(key.kind)) + "/" + key.id);
    if (!is_ok(received))
    {
        return fail(error_of(received));
    }
    if (value_of(received).status == not_found)
    {
        return std::nullopt;
    }
    if (!value_of(received).ok())
    {
        return fail(value_of(received));
    }
    outcome<config::object_in_force> parsed =
        config::parse_in_force(value_of(received).body);
    if (!is_ok(parsed))
    {
        return fail(exit_code::failed, error_of(parsed).message);
    }
    return value_of(std::move(parsed));
}

exit_code submit(command_context& context, const config::command& order)
{
    const outcome<answer> received =
        context.control.post("/v1/commands", to_json(order));
    if (!is_ok(received))
    {
        return fail(exit_code::failed,
                    error_of(received).message +
                        "; whether the command took effect is not known, "
                        "send it again under operation " +
                        order.operation.get());
    }
    const answer& got = value_of(received);
    const outcome<config::command_result> result =
        config::parse_result(got.body);
    if (!is_ok(result))
    {
        return fail(got);
    }
    const exit_code printed = print_result(order, value_of(result));
    if (printed != exit_code::success || !context.flags.wait)
    {
        return printed;
    }
    return wait_in_force(
        context, std::get<config::accepted>(value_of(result)).number.get());
}

exit_code wait_in_force(command_context& context, std::uint64_t revision)
{
    const time_point end = monotonic_clock::now() + context.flags.wait_timeout;
    for (;;)
    {
        const outcome<answer> received = context.control.get("/v1/in-force");
        if (!is_ok(received))
        {
            return fail(error_of(received));
        }
        if (!value_of(received).ok())
        {
            return fail(value_of(received));
        }
        const boost::json::value& body = value_of(received).body;
        const auto late = lagging_data_centres(body, revision);
        const bool complete = body.at("complete").as_bool();
        if (complete && late.empty())
        {
            std::cout << "revision " << revision << " is in force in all "
                      << body.at("data_centres").as_array().size()
                      << " data centres\n";
            return exit_code::success;
        }
        if (monotonic_clock::now() >= end)
        {
            for (const std::string& each : late)
            {
                std::cerr << "limpetctl: lagging: " << each << "\n";
            }
            const std::string text = "revision " + std::to_string(revision) +
                                     " is accepted, but not ";
            return fail(exit_code::not_in_force,
                        text + (complete ? "in force everywhere"
                                         : "all routers have reported yet"));
        }
        std::this_thread::sleep_for(poll_period);
    }
}

std::string random_hex(std::size_t bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::vector<unsigned char> random(bytes);
    if (RAND_bytes(random.data(), static_cast<int>(bytes)) != 1)
    {
        std::abort();
    }
    std::string out;
    for (const unsigned char each : random)
    {
        out += digits[each >> 4];
        out += digits[each & 15];
    }
    return out;
}

} // namespace limpet::ctl
