#include <limpet/base/settings_reader.hpp>
#include <limpet/config/command.hpp>
#include <limpet/config/object_json.hpp>

#include <algorithm>
#include <limits>

namespace limpet::config
{

namespace
{

constexpr std::uint64_t any_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t max_operation_bytes = 128;

template <class... Calls>
struct overloaded : Calls...
{
    using Calls::operator()...;
};
template <class... Calls>
overloaded(Calls...) -> overloaded<Calls...>;

outcome<change> as_change(outcome<object> read)
{
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return change(put_object{value_of(std::move(read))});
}

outcome<change> as_change(outcome<object_key> read)
{
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return change(remove_object{value_of(std::move(read))});
}

outcome<change> parse_set_service(const boost::json::value& document)
{
    settings_reader reader(document, "command.set_service");
    set_service out;
    const std::optional<object_kind> kind =
        parse_object_kind(reader.text("kind"));
    if (kind != object_kind::data_centre && kind != object_kind::backend_server)
    {
        reader.fail("kind", "must be data_centre or backend_server");
    }
    out.key = {kind.value_or(object_kind::data_centre), reader.text("id")};
    if (!reader.has("in_service"))
    {
        reader.child("in_service", true);
    }
    out.in_service = reader.flag_or("in_service", true);
    std::string location = reader.text_or("data_centre", {});
    if (!location.empty())
    {
        out.location = data_centre_id(std::move(location));
    }
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return change(std::move(out));
}

outcome<change> parse_change(settings_reader& reader)
{
    const boost::json::value* put = reader.child("put", false);
    const boost::json::value* removed = reader.child("remove", false);
    const boost::json::value* service = reader.child("set_service", false);
    const int given =
        (put != nullptr) + (removed != nullptr) + (service != nullptr);
    if (given != 1)
    {
        return error{error_code::invalid_argument,
                     "command: must have exactly one of put, remove and "
                     "set_service"};
    }
    if (put != nullptr)
    {
        return as_change(parse_object(*put, "command.put"));
    }
    if (removed != nullptr)
    {
        return as_change(parse_object_key(*removed, "command.remove"));
    }
    return parse_set_service(*service);
}

void read_operation(settings_reader& reader, command& out)
{
    out.operation = operation_id(reader.text("operation"));
    if (out.operation.get().size() > max_operation_bytes)
    {
        reader.fail("operation", "must have at most 128 bytes");
    }
    out.expected = revision(reader.number("expected_revision", 0, any_number));
}

outcome<command> finish_command(settings_reader& reader, command out)
{
    outcome<change> what = parse_change(reader);
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    if (!is_ok(what))
    {
        return error_of(what);
    }
    out.what = value_of(std::move(what));
    return out;
}

boost::json::object json_of_key(const object_key& key)
{
    return {{"kind", to_string(key.kind)}, {"id", key.id}};
}

boost::json::object json_of_service(const set_service& what)
{
    boost::json::object out = json_of_key(what.key);
    out["in_service"] = what.in_service;
    if (what.location)
    {
        out["data_centre"] = what.location->get();
    }
    return out;
}

std::optional<error_code> parse_error_code(std::string_view text)
{
    for (int code = 0; code <= static_cast<int>(error_code::internal); ++code)
    {
        if (to_string(static_cast<error_code>(code)) == text)
        {
            return static_cast<error_code>(code);
        }
    }
    return std::nullopt;
}

outcome<command_result> parse_rejected(const boost::json::value& document)
{
    settings_reader reader(document, "result.rejected");
    rejected out;
    const std::optional<error_code> code =
        parse_error_code(reader.text("code"));
    if (!code)
    {
        reader.fail("code", "is not a known code");
    }
    out.code = code.value_or(error_code::internal);
    out.field = reader.text_or("field", {});
    out.reason = reader.text_or("reason", {});
    if (reader.has("winner_revision"))
    {
        out.winner = conflict_winner{
            revision(reader.number("winner_revision", 0, any_number)),
            operator_id(reader.text("winner"))};
    }
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return command_result(std::move(out));
}

} // namespace

object_key target_of(const change& what)
{
    return std::visit(
        overloaded{
            [](const put_object& put)
            {
                return key_of(put.value);
            },
            [](const remove_object& removed)
            {
                return removed.key;
            },
            [](const set_service& service)
            {
                return service.key;
            },
        },
        what);
}

outcome<command> parse_command(const boost::json::value& document)
{
    settings_reader reader(document, "command");
    command out;
    read_operation(reader, out);
    return finish_command(reader, std::move(out));
}

boost::json::value to_json(const command& order)
{
    boost::json::object out;
    out["operation"] = order.operation.get();
    out["expected_revision"] = order.expected.get();
    std::visit(
        overloaded{
            [&](const put_object& put)
            {
                out["put"] = to_json(put.value);
            },
            [&](const remove_object& removed)
            {
                out["remove"] = json_of_key(removed.key);
            },
            [&](const set_service& service)
            {
                out["set_service"] = json_of_service(service);
            },
        },
        order.what);
    return out;
}

std::string encode(const command& order)
{
    boost::json::value out = to_json(order);
    out.get_object()["author"] = order.author.get();
    out.get_object()["time"] = order.submitted_unix_ms;
    return boost::json::serialize(out);
}

outcome<command> decode_command(std::string_view bytes)
{
    const outcome<boost::json::value> parsed = parse_json(bytes);
    if (!is_ok(parsed))
    {
        return error_of(parsed);
    }
    settings_reader reader(value_of(parsed), "command");
    command out;
    read_operation(reader, out);
    out.author = operator_id(reader.text("author"));
    out.submitted_unix_ms = reader.number("time", 0, any_number);
    return finish_command(reader, std::move(out));
}

boost::json::value to_json(const command_result& result)
{
    boost::json::object out;
    if (const auto* done = std::get_if<accepted>(&result))
    {
        out["revision"] = done->number.get();
        return out;
    }
    const rejected& failed = std::get<rejected>(result);
    boost::json::object detail;
    detail["code"] = to_string(failed.code);
    if (!failed.field.empty())
    {
        detail["field"] = failed.field;
    }
    if (!failed.reason.empty())
    {
        detail["reason"] = failed.reason;
    }
    if (failed.winner)
    {
        detail["winner_revision"] = failed.winner->number.get();
        detail["winner"] = failed.winner->author.get();
    }
    out["rejected"] = std::move(detail);
    return out;
}

outcome<command_result> parse_result(const boost::json::value& document)
{
    settings_reader reader(document, "result");
    const boost::json::value* failed = reader.child("rejected", false);
    if (failed != nullptr)
    {
        return parse_rejected(*failed);
    }
    const revision number(reader.number("revision", 1, any_number));
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return command_result(accepted{number});
}

} // namespace limpet::config
