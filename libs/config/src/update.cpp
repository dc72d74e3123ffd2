#include <limpet/base/hash.hpp>
#include <limpet/base/settings_reader.hpp>
#include <limpet/config/object_json.hpp>
#include <limpet/config/update.hpp>

#include <limits>

namespace limpet::config
{

namespace
{

constexpr std::uint64_t any_number = std::numeric_limits<std::uint64_t>::max();

boost::json::value json_of(const object_key& key)
{
    return boost::json::object{{"kind", to_string(key.kind)}, {"id", key.id}};
}

} // namespace

std::string encode(const update& change)
{
    boost::json::object out;
    out["revision"] = change.number.get();
    out["operation"] = change.operation.get();
    out["author"] = change.author.get();
    out["time"] = change.submitted_unix_ms;
    if (change.value)
    {
        out["put"] = to_json(*change.value);
    }
    else
    {
        out["remove"] = json_of(change.key);
    }
    return boost::json::serialize(out);
}

outcome<update> decode_update(std::string_view document)
{
    const outcome<boost::json::value> parsed = parse_json(document);
    if (!is_ok(parsed))
    {
        return error_of(parsed);
    }
    settings_reader reader(value_of(parsed), "update");
    update out;
    out.number = revision(reader.number("revision", 1, any_number));
    out.operation = operation_id(reader.text("operation"));
    out.author = operator_id(reader.text("author"));
    out.submitted_unix_ms = reader.number("time", 0, any_number);
    const boost::json::value* put = reader.child("put", false);
    const boost::json::value* removed = reader.child("remove", put == nullptr);
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    if (put == nullptr)
    {
        outcome<object_key> key = parse_object_key(*removed, "update.remove");
        if (!is_ok(key))
        {
            return error_of(key);
        }
        out.key = value_of(std::move(key));
        return out;
    }
    outcome<object> value = parse_object(*put, "update.put");
    if (!is_ok(value))
    {
        return error_of(value);
    }
    out.value = value_of(std::move(value));
    out.key = key_of(*out.value);
    return out;
}

std::uint64_t extend_digest(std::uint64_t digest, std::string_view encoded)
{
    return stable_hash(encoded, digest);
}

} // namespace limpet::config
