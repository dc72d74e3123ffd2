#include <limpet/base/settings_reader.hpp>
#include <limpet/control/control_settings.hpp>
#include <limpet/http/endpoint.hpp>

namespace limpet::control
{

namespace
{

constexpr duration max_rollout_repeat = std::chrono::minutes(10);
constexpr duration max_drain = std::chrono::hours(1);
constexpr std::uint64_t max_memory_mb = 1024UL * 1024;
constexpr std::uint64_t bytes_per_mb = 1024UL * 1024;
constexpr std::uint64_t max_max_descriptors = 1024UL * 1024;
constexpr std::uint64_t max_tolerated_losses = 10;

boost::asio::ip::tcp::endpoint read_endpoint(settings_reader& reader,
                                             std::string_view key)
{
    const auto parsed = http::parse_endpoint(reader.text(key));
    if (!is_ok(parsed))
    {
        reader.fail(key, error_of(parsed).message);
        return {};
    }
    return value_of(parsed);
}

std::vector<replica_peer> read_group(settings_reader& reader)
{
    std::vector<replica_peer> group;
    const boost::json::value* list = reader.child("group", false);
    if (list == nullptr)
    {
        return group;
    }
    if (!list->is_array())
    {
        reader.fail("group", "must be a list");
        return group;
    }
    for (const boost::json::value& entry : list->get_array())
    {
        settings_reader item(entry,
                             reader.path_of("group") + "[" +
                                 std::to_string(group.size()) + "]");
        replica_peer peer;
        peer.vm = vm_id(item.text("vm"));
        peer.address = read_endpoint(item, "address");
        group.push_back(peer);
        const status result = item.finish();
        if (!is_ok(result))
        {
            reader.fail("group", error_of(result).message);
        }
    }
    return group;
}

std::optional<control_settings::discovery_settings>
read_discovery(settings_reader& reader)
{
    const boost::json::value* part = reader.child("discovery", false);
    if (part == nullptr)
    {
        return std::nullopt;
    }
    settings_reader item(*part, reader.path_of("discovery"));
    control_settings::discovery_settings found;
    for (const std::string& seed : item.texts_or_empty("seeds"))
    {
        const auto parsed = http::parse_endpoint(seed);
        if (!is_ok(parsed))
        {
            item.fail("seeds", error_of(parsed).message);
            break;
        }
        found.seeds.push_back(value_of(parsed));
    }
    found.first_start = item.flag_or("first_start", false);
    found.tolerated_losses = item.number_or(
        "tolerated_losses", found.tolerated_losses, 1, max_tolerated_losses);
    found.server_heartbeat_period =
        item.milliseconds_or("sign_of_life_period_ms",
                             found.server_heartbeat_period,
                             milliseconds(1),
                             seconds(60));
    const status result = item.finish();
    if (!is_ok(result))
    {
        reader.fail("discovery", error_of(result).message);
    }
    return found;
}

} // namespace

outcome<control_settings>
parse_control_settings(const boost::json::value& document)
{
    settings_reader reader(document, "control");
    control_settings settings;
    settings.vm = vm_id(reader.text("vm"));
    settings.data_centre = data_centre_id(reader.text("data_centre"));
    settings.operators = read_endpoint(reader, "operators");
    settings.peers = read_endpoint(reader, "peers");
    if (reader.has("metrics"))
    {
        settings.metrics = read_endpoint(reader, "metrics");
    }
    settings.group_name = reader.text_or("group_name", settings.group_name);
    settings.group = read_group(reader);
    settings.discovery = read_discovery(reader);
    if (reader.has("rollout_repeat_ms"))
    {
        settings.rollout_repeat_time =
            reader.milliseconds_or("rollout_repeat_ms",
                                   duration::zero(),
                                   duration::zero(),
                                   max_rollout_repeat);
    }
    if (reader.has("memory_mb"))
    {
        settings.memory =
            reader.number_or("memory_mb", 0, 1, max_memory_mb) * bytes_per_mb;
    }
    if (reader.has("max_descriptors"))
    {
        settings.max_descriptors =
            reader.number_or("max_descriptors", 0, 16, max_max_descriptors);
    }
    settings.data_folder = reader.text("data_folder");
    const auto level = parse_log_level(reader.text_or("log_level", "info"));
    if (is_ok(level))
    {
        settings.log = value_of(level);
    }
    else
    {
        reader.fail("log_level", error_of(level).message);
    }
    settings.drain_timeout = reader.milliseconds_or("drain_timeout_ms",
                                                    settings.drain_timeout,
                                                    duration::zero(),
                                                    max_drain);
    const status result = reader.finish();
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return settings;
}

outcome<control_settings> read_control_settings(const std::string& file)
{
    const auto document = read_json_file(file);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    auto settings = parse_control_settings(value_of(document));
    if (!is_ok(settings))
    {
        return error{error_of(settings).code,
                     file + ": " + error_of(settings).message};
    }
    return settings;
}

} // namespace limpet::control
