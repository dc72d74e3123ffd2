#include <limpet/base/settings_reader.hpp>
#include <limpet/config/object_json.hpp>

#include <algorithm>
#include <set>

namespace limpet::config
{

namespace
{

constexpr std::uint64_t max_priority = 9;
constexpr std::uint64_t max_share = 10000;
constexpr std::uint64_t max_output_tokens = 1000000;
constexpr std::uint64_t max_open_requests = 1000000;
constexpr duration max_deadline = std::chrono::hours(1);
constexpr duration max_chat_retention = std::chrono::hours(24 * 30);
constexpr std::size_t max_id_bytes = 64;
constexpr std::size_t max_path_bytes = 256;
constexpr std::size_t max_list_size = 64;
constexpr std::size_t max_team_keys = 4;

bool is_id_character(char each)
{
    return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
           (each >= '0' && each <= '9') || each == '-' || each == '_' ||
           each == '.' || each == ':';
}

bool is_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_id_bytes &&
           std::all_of(text.begin(), text.end(), is_id_character);
}

constexpr std::string_view id_rule =
    "must be 1 to 64 letters, digits or any of - _ . :";

/// Records the error of a nested object in the outer reader. The nested reader
/// only has the path of its own key, so the outer reader adds the full path.
void propagate_error(settings_reader& reader, const status& nested)
{
    if (is_ok(nested))
    {
        return;
    }
    const std::string& message = error_of(nested).message;
    const std::size_t colon = message.find(": ");
    reader.fail(message.substr(0, colon), message.substr(colon + 2));
}

std::string read_id(settings_reader& reader, std::string_view key)
{
    std::string id = reader.text(key);
    if (!is_id(id))
    {
        reader.fail(key, id_rule);
    }
    return id;
}

template <class Id>
std::optional<Id> read_optional_id(settings_reader& reader,
                                   std::string_view key)
{
    if (!reader.has(key))
    {
        reader.child(key, false);
        return std::nullopt;
    }
    return Id(read_id(reader, key));
}

std::vector<std::string> read_texts(settings_reader& reader,
                                    std::string_view key)
{
    std::vector<std::string> texts = reader.texts_or_empty(key);
    if (texts.size() > max_list_size)
    {
        reader.fail(key, "must have at most 64 entries");
    }
    if (std::set(texts.begin(), texts.end()).size() != texts.size())
    {
        reader.fail(key, "must not name an entry twice");
    }
    return texts;
}

std::vector<model_id> read_models(settings_reader& reader)
{
    std::vector<model_id> models;
    for (std::string& text : read_texts(reader, "models"))
    {
        if (!is_id(text))
        {
            reader.fail("models", id_rule);
        }
        models.emplace_back(std::move(text));
    }
    if (models.empty())
    {
        reader.fail("models", "must name at least one model");
    }
    return models;
}

route_rule read_route(settings_reader& owner,
                      const boost::json::value& document,
                      const std::string& path)
{
    settings_reader reader(document, path);
    route_rule rule;
    rule.kind = read_id(reader, "kind");
    rule.repeatable = reader.flag_or("repeatable", false);
    propagate_error(owner, reader.finish());
    return rule;
}

std::vector<route_rule> read_routes(settings_reader& reader)
{
    const boost::json::value* list = reader.child("routes", true);
    if (list == nullptr)
    {
        return {};
    }
    if (!list->is_array() || list->get_array().size() > max_list_size)
    {
        reader.fail("routes", "must be a list of at most 64 entries");
        return {};
    }
    std::vector<route_rule> rules;
    std::set<std::string> kinds;
    for (const boost::json::value& each : list->get_array())
    {
        const std::string path = "routes[" + std::to_string(rules.size()) + "]";
        rules.push_back(read_route(reader, each, path));
        if (!kinds.insert(rules.back().kind).second)
        {
            reader.fail("routes", "must not name a kind twice");
        }
    }
    return rules;
}

std::uint32_t read_count(settings_reader& reader,
                         std::string_view key,
                         std::uint64_t lowest,
                         std::uint64_t highest)
{
    return static_cast<std::uint32_t>(reader.number(key, lowest, highest));
}

duration
read_time(settings_reader& reader, std::string_view key, duration highest)
{
    if (!reader.has(key))
    {
        reader.child(key, true);
    }
    return reader.milliseconds_or(key, {}, milliseconds(1), highest);
}

/// Assigns the value to the target if the key is present.
template <class Target, class Read>
void read_if_present(settings_reader& reader,
                     std::string_view key,
                     Target& target,
                     Read read)
{
    if (reader.has(key))
    {
        target = read();
        return;
    }
    reader.child(key, false);
}

/// Reads the fields of parameters or of overrides, which have the same names.
template <class Fields>
Fields read_fields(settings_reader& reader)
{
    Fields out;
    read_if_present(reader,
                    "priority",
                    out.priority,
                    [&]
                    {
                        return read_count(reader, "priority", 0, max_priority);
                    });
    read_if_present(reader,
                    "share",
                    out.share,
                    [&]
                    {
                        return read_count(reader, "share", 1, max_share);
                    });
    read_if_present(reader,
                    "models",
                    out.models,
                    [&]
                    {
                        return read_models(reader);
                    });
    read_if_present(reader,
                    "max_output_tokens",
                    out.max_output_tokens,
                    [&]
                    {
                        return token_count(reader.number(
                            "max_output_tokens", 1, max_output_tokens));
                    });
    read_if_present(reader,
                    "deadline_ms",
                    out.deadline,
                    [&]
                    {
                        return read_time(reader, "deadline_ms", max_deadline);
                    });
    read_if_present(reader,
                    "queue_time_ms",
                    out.queue_time,
                    [&]
                    {
                        return read_time(reader, "queue_time_ms", max_deadline);
                    });
    read_if_present(reader,
                    "max_open_requests",
                    out.max_open_requests,
                    [&]
                    {
                        return read_count(
                            reader, "max_open_requests", 1, max_open_requests);
                    });
    read_if_present(reader,
                    "chat_retention_ms",
                    out.chat_retention,
                    [&]
                    {
                        return read_time(
                            reader, "chat_retention_ms", max_chat_retention);
                    });
    read_if_present(reader,
                    "routes",
                    out.routes,
                    [&]
                    {
                        return read_routes(reader);
                    });
    return out;
}

sha256_digest
read_digest(settings_reader& reader, std::string_view key, std::string_view hex)
{
    const outcome<sha256_digest> digest = parse_sha256(hex);
    if (!is_ok(digest))
    {
        reader.fail(key, error_of(digest).message);
        return {};
    }
    return value_of(digest);
}

object read_partner(settings_reader& reader)
{
    partner out;
    out.id = partner_id(read_id(reader, "id"));
    out.share = static_cast<std::uint32_t>(
        reader.number_or("share", out.share, 1, max_share));
    out.guaranteed_percent = static_cast<std::uint32_t>(
        reader.number_or("guaranteed_percent", 0, 0, 100));
    return out;
}

object read_template(settings_reader& reader)
{
    team_template out;
    out.id = template_id(read_id(reader, "id"));
    out.owner = partner_id(read_id(reader, "partner"));
    const boost::json::value* fields = reader.child("parameters", true);
    if (fields == nullptr)
    {
        return out;
    }
    settings_reader inner(*fields, "parameters");
    out.values = read_fields<parameters>(inner);
    if (!inner.has("models"))
    {
        inner.child("models", true);
    }
    propagate_error(reader, inner.finish());
    return out;
}

object read_team(settings_reader& reader)
{
    team out;
    out.id = team_id(read_id(reader, "id"));
    out.owner = partner_id(read_id(reader, "partner"));
    out.base = template_id(read_id(reader, "template"));
    const boost::json::value* fields = reader.child("overrides", false);
    if (fields != nullptr)
    {
        settings_reader inner(*fields, "overrides");
        out.overrides = read_fields<parameter_overrides>(inner);
        propagate_error(reader, inner.finish());
    }
    for (const std::string& hex : read_texts(reader, "keys_sha256"))
    {
        out.keys.push_back(read_digest(reader, "keys_sha256", hex));
    }
    if (out.keys.size() > max_team_keys)
    {
        reader.fail("keys_sha256", "must have at most 4 entries");
    }
    return out;
}

object read_operator(settings_reader& reader)
{
    operator_account out;
    out.id = operator_id(read_id(reader, "id"));
    out.scope = read_optional_id<partner_id>(reader, "partner");
    out.token =
        read_digest(reader, "token_sha256", reader.text("token_sha256"));
    return out;
}

object read_data_centre(settings_reader& reader)
{
    data_centre out;
    out.id = data_centre_id(read_id(reader, "id"));
    out.region = region_id(read_id(reader, "region"));
    out.owner = read_optional_id<partner_id>(reader, "partner");
    out.in_service = reader.flag_or("in_service", true);
    return out;
}

object read_backend_server(settings_reader& reader)
{
    backend_server out;
    out.id = engine_id(read_id(reader, "id"));
    out.location = data_centre_id(read_id(reader, "data_centre"));
    out.in_service = reader.flag_or("in_service", true);
    return out;
}

bool is_route_id(const service_route& route)
{
    return is_id(route.owner()) && route.path().size() > 1 &&
           route.path().size() <= max_path_bytes &&
           route.path().back() != '/' &&
           route.path().find("//") == std::string_view::npos;
}

object read_service_route(settings_reader& reader)
{
    service_route out;
    out.id = reader.text("id");
    if (!is_route_id(out))
    {
        reader.fail("id",
                    "must be a partner and a path, such as bureau/alerts");
    }
    out.service = read_id(reader, "service");
    out.repeatable_methods = read_texts(reader, "repeatable_methods");
    out.deadline = reader.milliseconds_or(
        "deadline_ms", out.deadline, milliseconds(1), max_deadline);
    return out;
}

using read_function = object (*)(settings_reader&);

constexpr read_function read_functions[] = {
    &read_partner,
    &read_template,
    &read_team,
    &read_operator,
    &read_data_centre,
    &read_backend_server,
    &read_service_route,
};

std::optional<object_kind> read_kind(settings_reader& reader)
{
    const std::optional<object_kind> kind =
        parse_object_kind(reader.text("kind"));
    if (!kind)
    {
        reader.fail("kind",
                    "must be partner, template, team, operator, data_centre, "
                    "backend_server or service_route");
    }
    return kind;
}

} // namespace

outcome<object> parse_object(const boost::json::value& document,
                             const std::string& path)
{
    settings_reader reader(document, path);
    const std::optional<object_kind> kind = read_kind(reader);
    if (!kind)
    {
        return error_of(reader.finish());
    }
    object out = read_functions[static_cast<std::size_t>(*kind)](reader);
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return out;
}

outcome<object_key> parse_object_key(const boost::json::value& document,
                                     const std::string& path)
{
    settings_reader reader(document, path);
    const std::optional<object_kind> kind = read_kind(reader);
    std::string id = reader.text("id");
    const status read = reader.finish();
    if (!is_ok(read))
    {
        return error_of(read);
    }
    return object_key{*kind, std::move(id)};
}

} // namespace limpet::config
