#include <limpet/config/object_json.hpp>

namespace limpet::config
{

namespace
{

std::uint64_t in_milliseconds(duration value)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(value).count());
}

boost::json::value json_of(std::uint32_t value)
{
    return static_cast<std::uint64_t>(value);
}

boost::json::value json_of(token_count value)
{
    return value.get();
}

boost::json::value json_of(duration value)
{
    return in_milliseconds(value);
}

boost::json::value json_of(const std::vector<model_id>& models)
{
    boost::json::array out;
    for (const model_id& each : models)
    {
        out.emplace_back(each.get());
    }
    return out;
}

boost::json::value json_of(const std::vector<route_rule>& routes)
{
    boost::json::array out;
    for (const route_rule& each : routes)
    {
        out.emplace_back(boost::json::object{{"kind", each.kind},
                                             {"repeatable", each.repeatable}});
    }
    return out;
}

template <class T>
void write(boost::json::object& out, std::string_view key, const T& value)
{
    out[key] = json_of(value);
}

template <class T>
void write(boost::json::object& out,
           std::string_view key,
           const std::optional<T>& value)
{
    if (value)
    {
        out[key] = json_of(*value);
    }
}

template <class Fields>
boost::json::object write_fields(const Fields& fields)
{
    boost::json::object out;
    write(out, "priority", fields.priority);
    write(out, "share", fields.share);
    write(out, "models", fields.models);
    write(out, "max_output_tokens", fields.max_output_tokens);
    write(out, "deadline_ms", fields.deadline);
    write(out, "queue_time_ms", fields.queue_time);
    write(out, "max_open_requests", fields.max_open_requests);
    write(out, "chat_retention_ms", fields.chat_retention);
    write(out, "routes", fields.routes);
    return out;
}

/// Writes the fields of an object after its kind and id.
struct object_writer
{
    boost::json::object& out;

    void operator()(const partner& value) const
    {
        write(out, "share", value.share);
        write(out, "guaranteed_percent", value.guaranteed_percent);
    }

    void operator()(const team_template& value) const
    {
        out["partner"] = value.owner.get();
        out["parameters"] = write_fields(value.values);
    }

    void operator()(const team& value) const
    {
        out["partner"] = value.owner.get();
        out["template"] = value.base.get();
        out["overrides"] = write_fields(value.overrides);
        boost::json::array keys;
        for (const sha256_digest& each : value.keys)
        {
            keys.emplace_back(to_hex(each));
        }
        out["keys_sha256"] = std::move(keys);
    }

    void operator()(const operator_account& value) const
    {
        if (value.scope)
        {
            out["partner"] = value.scope->get();
        }
        out["token_sha256"] = to_hex(value.token);
    }

    void operator()(const data_centre& value) const
    {
        out["region"] = value.region.get();
        if (value.owner)
        {
            out["partner"] = value.owner->get();
        }
        out["in_service"] = value.in_service;
    }

    void operator()(const backend_server& value) const
    {
        out["data_centre"] = value.location.get();
        out["in_service"] = value.in_service;
    }

    void operator()(const service_route& value) const
    {
        out["service"] = value.service;
        boost::json::array methods;
        for (const std::string& each : value.repeatable_methods)
        {
            methods.emplace_back(each);
        }
        out["repeatable_methods"] = std::move(methods);
        write(out, "deadline_ms", value.deadline);
    }
};

} // namespace

boost::json::value to_json(const object& value)
{
    const object_key key = key_of(value);
    boost::json::object out;
    out["kind"] = to_string(key.kind);
    out["id"] = key.id;
    std::visit(object_writer{out}, value);
    return out;
}

boost::json::object parameters_json(const parameters& values)
{
    return write_fields(values);
}

} // namespace limpet::config
