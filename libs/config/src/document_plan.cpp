#include <limpet/base/settings_reader.hpp>
#include <limpet/config/document_plan.hpp>
#include <limpet/config/object_json.hpp>

#include <limits>
#include <map>

namespace limpet::config
{

namespace
{

constexpr std::uint64_t any_number = std::numeric_limits<std::uint64_t>::max();

using flat_fields = std::map<std::string, std::string>;

void flatten(const std::string& path,
             const boost::json::value& value,
             flat_fields& out)
{
    const boost::json::object* fields = value.if_object();
    if (fields == nullptr)
    {
        out[path] = boost::json::serialize(value);
        return;
    }
    for (const auto& each : *fields)
    {
        const std::string name(each.key());
        std::string inner = path;
        inner += path.empty() ? "" : ".";
        inner += name;
        flatten(inner, each.value(), out);
    }
}

flat_fields flat_fields_of(const std::optional<object>& from)
{
    flat_fields out;
    if (from)
    {
        flatten("", to_json(*from), out);
    }
    return out;
}

outcome<document_entry> parse_object_entry(const boost::json::value& document)
{
    document_entry out;
    boost::json::object fields = document.get_object();
    if (fields.contains("revision"))
    {
        settings_reader reader(document, "object");
        out.based_on = revision(reader.number("revision", 0, any_number));
        fields.erase("revision");
        if (!document.at("revision").is_number())
        {
            return error{error_code::invalid_argument,
                         "object.revision: must be a whole number"};
        }
    }
    outcome<object> wanted = parse_object(fields, "object");
    if (!is_ok(wanted))
    {
        return error_of(wanted);
    }
    out.key = key_of(value_of(wanted));
    out.wanted = value_of(std::move(wanted));
    return out;
}

} // namespace

outcome<document_entry> parse_entry(const boost::json::value& document)
{
    const boost::json::object* fields = document.if_object();
    if (fields != nullptr && fields->contains("kind"))
    {
        return parse_object_entry(document);
    }
    outcome<command> order = parse_command(document);
    if (!is_ok(order))
    {
        return error_of(order);
    }
    document_entry out;
    out.key = target_of(value_of(order).what);
    out.order = value_of(std::move(order));
    return out;
}

outcome<object_in_force> parse_in_force(const boost::json::value& document)
{
    settings_reader reader(document, "answer");
    const revision changed_at(reader.number("revision", 1, any_number));
    reader.text("author");
    reader.child("in_force", false);
    const boost::json::value* value = reader.child("object", true);
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    outcome<object> parsed = parse_object(*value, "answer.object");
    if (!is_ok(parsed))
    {
        return error_of(parsed);
    }
    return object_in_force{changed_at, value_of(std::move(parsed))};
}

std::optional<command>
command_for(const document_entry& entry,
            const std::optional<object_in_force>& in_force,
            const operation_id& operation)
{
    if (entry.order)
    {
        return entry.order;
    }
    if (in_force && to_json(in_force->value) == to_json(*entry.wanted))
    {
        return std::nullopt;
    }
    command out;
    out.operation = operation;
    out.expected = in_force ? in_force->changed_at : revision(0);
    out.expected = entry.based_on.value_or(out.expected);
    out.what = put_object{*entry.wanted};
    return out;
}

std::vector<field_difference> differences(const std::optional<object>& before,
                                          const std::optional<object>& after)
{
    const flat_fields old_fields = flat_fields_of(before);
    const flat_fields new_fields = flat_fields_of(after);
    std::map<std::string, field_difference> merged;
    for (const auto& [path, text] : old_fields)
    {
        merged[path] = {path, text, {}};
    }
    for (const auto& [path, text] : new_fields)
    {
        field_difference& each = merged[path];
        each.field = path;
        each.after = text;
    }
    std::vector<field_difference> out;
    for (auto& [path, each] : merged)
    {
        if (each.before != each.after)
        {
            out.push_back(std::move(each));
        }
    }
    return out;
}

} // namespace limpet::config
