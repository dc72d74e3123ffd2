/// \file
/// Subcommands that read and print state, and the key tools.

#include "command_helpers.hpp"
#include "table.hpp"

#include <limpet/config/sha256.hpp>

#include <iostream>
#include <thread>

namespace limpet::ctl
{

namespace
{

constexpr duration watch_period = seconds(1);
constexpr std::size_t key_bytes = 32;

/// Returns the field as text, empty if it is absent.
std::string cell(const boost::json::value& row, std::string_view field)
{
    const auto* found = row.as_object().if_contains(field);
    if (found == nullptr || found->is_null())
    {
        return "";
    }
    return found->is_string() ? std::string(found->get_string())
                              : boost::json::serialize(*found);
}

/// Prints one row for each object of the list.
void print_rows(const boost::json::value& list,
                const std::vector<std::string>& fields)
{
    table out(fields);
    for (const boost::json::value& each : list.as_array())
    {
        std::vector<std::string> row;
        row.reserve(fields.size());
        for (const std::string& field : fields)
        {
            row.push_back(cell(each, field));
        }
        out.add(std::move(row));
    }
    out.print(std::cout);
}

void print_json(const boost::json::value& value)
{
    std::cout << boost::json::serialize(value) << "\n";
}

/// Prints the fields of an object, one line each, nested ones indented.
void print_fields(const boost::json::value& value, const std::string& indent)
{
    for (const auto& each : value.as_object())
    {
        std::cout << indent << std::string(each.key()) << ":";
        if (each.value().is_object())
        {
            std::cout << "\n";
            print_fields(each.value(), indent + "  ");
            continue;
        }
        std::cout << " " << boost::json::serialize(each.value()) << "\n";
    }
}

void print_objects(const boost::json::value& list)
{
    table out({"KIND", "ID", "REVISION", "CHANGED BY"});
    for (const boost::json::value& each : list.as_array())
    {
        out.add({cell(each.at("object"), "kind"),
                 cell(each.at("object"), "id"),
                 cell(each, "revision"),
                 cell(each, "author")});
    }
    out.print(std::cout);
}

std::string change_line(const boost::json::value& change)
{
    const auto* put = change.as_object().if_contains("put");
    const boost::json::value& what =
        put == nullptr ? change.at("remove") : *put;
    std::string line = cell(change, "revision");
    line += "  ";
    line += cell(change, "author");
    line += put == nullptr ? "  removed  " : "  put  ";
    line += cell(what, "kind");
    line += " ";
    line += cell(what, "id");
    line += "  (operation ";
    line += cell(change, "operation");
    line += ")";
    return line;
}

/// Prints the changes of a page of the history.
void print_changes(const command_context& context,
                   const boost::json::value& page)
{
    for (const boost::json::value& each : page.at("changes").as_array())
    {
        if (context.flags.json)
        {
            print_json(each);
        }
        else
        {
            std::cout << change_line(each) << "\n";
        }
    }
    std::cout.flush();
}

std::string history_target(std::uint64_t after, std::uint64_t limit)
{
    return "/v1/history?after=" + std::to_string(after) +
           "&limit=" + std::to_string(limit);
}

/// Fetches a body. On failure prints the reason and returns its exit code.
std::variant<boost::json::value, exit_code> fetch(control_client& from,
                                                  const std::string& target)
{
    const outcome<answer> received = from.get(target);
    if (!is_ok(received))
    {
        return fail(error_of(received));
    }
    if (!value_of(received).ok())
    {
        return fail(value_of(received));
    }
    return value_of(received).body;
}

/// Replaces the entries of engines that another router owns by that router's
/// own entries, which also hold the engines' limits.
void add_owned_engines(boost::json::value& to, const boost::json::value& from)
{
    for (const auto& owned : from.at("engines").as_array())
    {
        if (!owned.as_object().contains("limit"))
        {
            continue;
        }
        for (auto& engine : to.at("engines").as_array())
        {
            if (engine.at("engine") == owned.at("engine"))
            {
                engine = owned;
            }
        }
    }
}

} // namespace

exit_code run_show(command_context& context)
{
    if (context.arguments.size() > 2)
    {
        return fail(exit_code::usage, "show needs at most a kind and an id");
    }
    std::string target = "/v1/objects";
    if (!context.arguments.empty())
    {
        const auto kind = parse_kind(context.arguments[0]);
        if (!kind)
        {
            return fail(exit_code::usage, "no such kind of object");
        }
        target += "/" + std::string(config::to_string(*kind));
    }
    const bool one = context.arguments.size() == 2;
    target += one ? "/" + context.arguments[1] : "";
    const auto body = fetch(context.control, target);
    if (const auto* failed = std::get_if<exit_code>(&body))
    {
        return *failed;
    }
    const auto& value = std::get<0>(body);
    if (context.flags.json)
    {
        print_json(value);
    }
    else if (one)
    {
        print_fields(value, "");
    }
    else
    {
        print_objects(value);
    }
    return exit_code::success;
}

exit_code run_history(command_context& context)
{
    const auto body =
        fetch(context.control,
              history_target(context.flags.after, context.flags.limit));
    if (const auto* failed = std::get_if<exit_code>(&body))
    {
        return *failed;
    }
    print_changes(context, std::get<0>(body));
    return exit_code::success;
}

exit_code run_watch(command_context& context)
{
    std::uint64_t after = context.flags.after;
    if (after == 0)
    {
        const auto now = fetch(context.control, history_target(0, 0));
        if (const auto* failed = std::get_if<exit_code>(&now))
        {
            return *failed;
        }
        after = std::get<0>(now).at("newest").to_number<std::uint64_t>();
    }
    for (;;)
    {
        const auto page =
            fetch(context.control, history_target(after, context.flags.limit));
        if (const auto* failed = std::get_if<exit_code>(&page))
        {
            return *failed;
        }
        const auto& value = std::get<0>(page);
        print_changes(context, value);
        const auto last = value.at("last").to_number<std::uint64_t>();
        if (last == after)
        {
            std::this_thread::sleep_for(watch_period);
        }
        after = last;
    }
}

exit_code run_in_force(command_context& context)
{
    const auto body = fetch(context.control, "/v1/in-force");
    if (const auto* failed = std::get_if<exit_code>(&body))
    {
        return *failed;
    }
    const auto& value = std::get<0>(body);
    if (context.flags.json)
    {
        print_json(value);
        return exit_code::success;
    }
    std::cout << "accepted revision " << cell(value, "accepted")
              << ", in force everywhere " << cell(value, "in_force") << "\n";
    print_rows(
        value.at("data_centres"),
        {"data_centre", "revision", "routers", "relay", "silent", "lagging"});
    return exit_code::success;
}

exit_code run_status(command_context& context)
{
    auto bodies = context.routers.get_from_each("/v1/status");
    if (bodies.empty())
    {
        return fail(exit_code::failed, "no router answered");
    }
    auto& value = bodies.front();
    for (std::size_t at = 1; at < bodies.size(); ++at)
    {
        add_owned_engines(value, bodies[at]);
    }
    if (context.flags.json)
    {
        print_json(value);
        return exit_code::success;
    }
    std::cout << "as seen by " << cell(value, "vm") << ", configuration at "
              << "revision " << cell(value, "revision") << "\n\n";
    print_rows(value.at("routers"),
               {"vm", "data_centre", "region", "address", "state", "ready"});
    std::cout << "\n";
    print_rows(value.at("engines"),
               {"engine",
                "data_centre",
                "kind",
                "owner",
                "in_service",
                "leaving",
                "in_flight",
                "waiting",
                "limit",
                "bound"});
    return exit_code::success;
}

exit_code run_new_key(command_context&)
{
    const std::string key = random_hex(key_bytes);
    std::cout << "key     " << key << "\n"
              << "sha256  " << to_hex(config::sha256(key)) << "\n";
    return exit_code::success;
}

exit_code run_digest(command_context&)
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty())
    {
        return fail(exit_code::usage, "digest reads a key or token from input");
    }
    std::cout << to_hex(config::sha256(key)) << "\n";
    return exit_code::success;
}

} // namespace limpet::ctl
