#include <limpet/base/settings_reader.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/pipeline/router_settings.hpp>

namespace limpet::pipeline
{

namespace
{

constexpr std::size_t max_threads = 64;
constexpr std::size_t max_connections = 1'000'000;
constexpr std::size_t min_body_bytes = 1024;
constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
constexpr std::size_t max_directory_chats = 10'000'000;
constexpr duration min_drain = milliseconds(0);
constexpr duration max_drain = std::chrono::hours(1);

boost::asio::ip::tcp::endpoint read_endpoint(settings_reader& reader,
                                             std::string_view key)
{
    const std::string text = reader.text(key);
    const auto parsed = http::parse_endpoint(text);
    if (!is_ok(parsed))
    {
        reader.fail(key, error_of(parsed).message);
        return {};
    }
    return value_of(parsed);
}

membership::peer read_peer(settings_reader& reader)
{
    membership::peer peer;
    peer.vm = vm_id(reader.text("vm"));
    peer.data_centre = data_centre_id(reader.text("data_centre"));
    peer.region = region_id(reader.text("region"));
    peer.address = http::to_string(read_endpoint(reader, "address"));
    return peer;
}

control_peer read_control(settings_reader& reader)
{
    control_peer peer;
    peer.vm = vm_id(reader.text("vm"));
    peer.address = read_endpoint(reader, "address");
    return peer;
}

/// Reads a list of objects, calling `read` for each.
template <class Item>
std::vector<Item> read_list(settings_reader& reader,
                            std::string_view key,
                            Item (*read)(settings_reader&))
{
    std::vector<Item> items;
    const boost::json::value* list = reader.child(key, false);
    if (list == nullptr)
    {
        return items;
    }
    if (!list->is_array())
    {
        reader.fail(key, "must be a list");
        return items;
    }
    for (const boost::json::value& entry : list->get_array())
    {
        settings_reader item(entry,
                             reader.path_of(key) + "[" +
                                 std::to_string(items.size()) + "]");
        items.push_back(read(item));
        const status result = item.finish();
        if (!is_ok(result))
        {
            reader.fail(key, error_of(result).message);
        }
    }
    return items;
}

log_level read_log_level(settings_reader& reader)
{
    const auto level = parse_log_level(reader.text_or("log_level", "info"));
    if (!is_ok(level))
    {
        reader.fail("log_level", error_of(level).message);
        return log_level::info;
    }
    return value_of(level);
}

membership::settings read_membership(settings_reader& reader)
{
    const boost::json::value* object = reader.child("membership", false);
    if (object == nullptr)
    {
        return {};
    }
    const auto parsed =
        membership::parse_settings(*object, reader.path_of("membership"));
    if (!is_ok(parsed))
    {
        reader.fail("membership", error_of(parsed).message);
        return {};
    }
    return value_of(parsed);
}

} // namespace

outcome<router_settings>
parse_router_settings(const boost::json::value& document)
{
    settings_reader reader(document, "router");
    router_settings settings;
    settings.self.vm = vm_id(reader.text("vm"));
    settings.self.data_centre = data_centre_id(reader.text("data_centre"));
    settings.self.region = region_id(reader.text("region"));
    settings.callers = read_endpoint(reader, "callers");
    settings.backends = read_endpoint(reader, "backends");
    settings.peers = read_endpoint(reader, "peers");
    settings.self.address = http::to_string(settings.peers);
    settings.seeds = read_list(reader, "seeds", &read_peer);
    settings.control = read_list(reader, "control", &read_control);
    settings.data_folder = reader.text_or("data_folder", "");
    settings.threads =
        reader.number_or("threads", settings.threads, 1, max_threads);
    settings.log = read_log_level(reader);
    settings.max_callers = reader.number_or(
        "max_callers", settings.max_callers, 1, max_connections);
    settings.max_body_bytes = reader.number_or("max_body_bytes",
                                               settings.max_body_bytes,
                                               min_body_bytes,
                                               max_body_bytes);
    settings.drain_timeout = reader.milliseconds_or(
        "drain_timeout_ms", settings.drain_timeout, min_drain, max_drain);
    settings.directory_chats = reader.number_or(
        "directory_chats", settings.directory_chats, 1, max_directory_chats);
    settings.membership = read_membership(reader);
    const status result = reader.finish();
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return settings;
}

outcome<router_settings> read_router_settings(const std::string& file)
{
    const auto document = read_json_file(file);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    auto settings = parse_router_settings(value_of(document));
    if (!is_ok(settings))
    {
        return error{error_of(settings).code,
                     file + ": " + error_of(settings).message};
    }
    return settings;
}

} // namespace limpet::pipeline
