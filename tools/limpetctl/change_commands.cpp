/// \file
/// Subcommands that change the configuration or compare a file with it.

#include "command_helpers.hpp"

#include <limpet/base/settings_reader.hpp>

#include <iostream>
#include <iterator>

namespace limpet::ctl
{

namespace
{

outcome<boost::json::value> read_document(const std::string& file)
{
    if (file != "-")
    {
        return read_json_file(file);
    }
    const std::string text{std::istreambuf_iterator<char>(std::cin), {}};
    return parse_json(text);
}

/// Reads the entries of a file, or of standard input for "-".
outcome<std::vector<config::document_entry>>
read_entries(const std::string& file)
{
    const outcome<boost::json::value> document = read_document(file);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    const boost::json::value& read = value_of(document);
    const boost::json::array items =
        read.is_array() ? read.get_array() : boost::json::array{read};
    std::vector<config::document_entry> out;
    for (const boost::json::value& each : items)
    {
        outcome<config::document_entry> entry = config::parse_entry(each);
        if (!is_ok(entry))
        {
            return error{error_of(entry).code,
                         file + ": entry " + std::to_string(out.size() + 1) +
                             ": " + error_of(entry).message};
        }
        out.push_back(value_of(std::move(entry)));
    }
    return out;
}

exit_code apply_entry(command_context& context,
                      const config::document_entry& entry)
{
    std::optional<config::object_in_force> in_force;
    if (!entry.order)
    {
        auto fetched = fetch_object(context, entry.key);
        if (const auto* failed = std::get_if<exit_code>(&fetched))
        {
            return *failed;
        }
        in_force = std::get<0>(std::move(fetched));
    }
    const auto order = config::command_for(entry, in_force, new_operation());
    if (!order)
    {
        std::cout << to_string(entry.key) << " unchanged\n";
        return exit_code::success;
    }
    return submit(context, *order);
}

/// Returns the object as it is after the entry is applied, or nothing if the
/// entry removes it.
std::optional<config::object>
object_after(const config::document_entry& entry,
             const std::optional<config::object>& before)
{
    if (entry.wanted)
    {
        return entry.wanted;
    }
    if (const auto* put = std::get_if<config::put_object>(&entry.order->what))
    {
        return put->value;
    }
    const auto* service = std::get_if<config::set_service>(&entry.order->what);
    std::optional<config::object> after =
        service == nullptr ? std::nullopt : before;
    if (after && std::holds_alternative<config::data_centre>(*after))
    {
        std::get<config::data_centre>(*after).in_service = service->in_service;
    }
    if (after && std::holds_alternative<config::backend_server>(*after))
    {
        std::get<config::backend_server>(*after).in_service =
            service->in_service;
    }
    return after;
}

std::variant<bool, exit_code> diff_entry(command_context& context,
                                         const config::document_entry& entry)
{
    auto fetched = fetch_object(context, entry.key);
    if (const auto* failed = std::get_if<exit_code>(&fetched))
    {
        return *failed;
    }
    const auto& in_force = std::get<0>(fetched);
    const std::optional<config::object> before =
        in_force ? std::optional(in_force->value) : std::nullopt;
    const auto fields =
        config::differences(before, object_after(entry, before));
    if (fields.empty())
    {
        return false;
    }
    std::cout << to_string(entry.key);
    std::cout << (in_force ? " at revision " +
                                 std::to_string(in_force->changed_at.get())
                           : std::string(" (new)"));
    std::cout << "\n";
    for (const config::field_difference& each : fields)
    {
        std::cout << "  " << each.field << ": "
                  << (each.before.empty() ? "(none)" : each.before) << " -> "
                  << (each.after.empty() ? "(none)" : each.after) << "\n";
    }
    return true;
}

exit_code set_service(command_context& context, bool in_service)
{
    if (context.arguments.size() != 2)
    {
        return fail(exit_code::usage, "needs a kind and an id");
    }
    const auto kind = parse_kind(context.arguments[0]);
    if (kind != config::object_kind::data_centre &&
        kind != config::object_kind::backend_server)
    {
        return fail(exit_code::usage,
                    "the kind must be data-centre or backend-server");
    }
    const config::object_key key{*kind, context.arguments[1]};
    auto fetched = fetch_object(context, key);
    if (const auto* failed = std::get_if<exit_code>(&fetched))
    {
        return *failed;
    }
    const auto& in_force = std::get<0>(fetched);
    const std::uint64_t current = in_force ? in_force->changed_at.get() : 0;
    config::set_service what{key, in_service, {}};
    if (!context.flags.data_centre.empty())
    {
        what.location = data_centre_id(context.flags.data_centre);
    }
    return submit(context,
                  make_command(what, context.flags.revision.value_or(current)));
}

} // namespace

exit_code run_apply(command_context& context)
{
    if (context.arguments.size() != 1)
    {
        return fail(exit_code::usage, "apply needs a file, or - for input");
    }
    const auto entries = read_entries(context.arguments[0]);
    if (!is_ok(entries))
    {
        return fail(exit_code::usage, error_of(entries).message);
    }
    for (const config::document_entry& each : value_of(entries))
    {
        const exit_code applied = apply_entry(context, each);
        if (applied != exit_code::success)
        {
            return applied;
        }
    }
    return exit_code::success;
}

exit_code run_diff(command_context& context)
{
    if (context.arguments.size() != 1)
    {
        return fail(exit_code::usage, "diff needs a file, or - for input");
    }
    const auto entries = read_entries(context.arguments[0]);
    if (!is_ok(entries))
    {
        return fail(exit_code::usage, error_of(entries).message);
    }
    bool different = false;
    for (const config::document_entry& each : value_of(entries))
    {
        const auto result = diff_entry(context, each);
        if (const auto* failed = std::get_if<exit_code>(&result))
        {
            return *failed;
        }
        different = std::get<bool>(result) || different;
    }
    return different ? exit_code::different : exit_code::success;
}

exit_code run_remove(command_context& context)
{
    if (context.arguments.size() != 2)
    {
        return fail(exit_code::usage, "remove needs a kind and an id");
    }
    const auto kind = parse_kind(context.arguments[0]);
    if (!kind)
    {
        return fail(exit_code::usage, "no such kind of object");
    }
    const config::object_key key{*kind, context.arguments[1]};
    auto fetched = fetch_object(context, key);
    if (const auto* failed = std::get_if<exit_code>(&fetched))
    {
        return *failed;
    }
    const auto& in_force = std::get<0>(fetched);
    const std::uint64_t current = in_force ? in_force->changed_at.get() : 0;
    return submit(context,
                  make_command(config::remove_object{key},
                               context.flags.revision.value_or(current)));
}

exit_code run_in_service(command_context& context)
{
    return set_service(context, true);
}

exit_code run_out_of_service(command_context& context)
{
    return set_service(context, false);
}

} // namespace limpet::ctl
