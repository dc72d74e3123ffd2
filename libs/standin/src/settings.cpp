#include <limpet/base/settings_reader.hpp>
#include <limpet/http/endpoint.hpp>
#include <limpet/standin/settings.hpp>

#include <set>

namespace limpet::standin
{

namespace
{

constexpr duration max_delay = seconds(60);
constexpr duration max_period = std::chrono::hours(1);
constexpr std::uint32_t max_slots = 1000000;

std::uint32_t read_bounded_number(settings_reader& reader,
                                  std::string_view key,
                                  std::uint32_t fallback,
                                  std::uint32_t lowest)
{
    return static_cast<std::uint32_t>(
        reader.number_or(key, fallback, lowest, max_slots));
}

/// Reads a duration given as a whole number of microseconds.
duration microseconds_or(settings_reader& reader,
                         std::string_view key,
                         duration fallback)
{
    using std::chrono::duration_cast;
    const auto count = duration_cast<microseconds>(fallback).count();
    const auto most = duration_cast<microseconds>(max_delay).count();
    return microseconds(reader.number_or(key, count, 0, most));
}

boost::asio::ip::tcp::endpoint endpoint_of(settings_reader& reader,
                                           std::string_view key,
                                           std::string_view text)
{
    auto parsed = http::parse_endpoint(text);
    if (!is_ok(parsed))
    {
        reader.fail(key, error_of(parsed).message);
        return {};
    }
    return value_of(parsed);
}

outcome<cold_start> parse_cold_start(const boost::json::value& value,
                                     const std::string& path)
{
    settings_reader reader(value, path);
    cold_start start;
    start.slots = read_bounded_number(reader, "slots", 1, 0);
    start.requests_per_slot = read_bounded_number(
        reader, "requests_per_slot", start.requests_per_slot, 1);
    start.falls_over_at =
        reader.real_or("falls_over_at", start.falls_over_at, 0, 1000);
    start.down_time = reader.milliseconds_or(
        "down_ms", start.down_time, duration::zero(), max_period);
    const status result = reader.finish();
    return is_ok(result) ? outcome<cold_start>(start) : error_of(result);
}

outcome<report_quality> parse_reports(const boost::json::value& value,
                                      const std::string& path)
{
    settings_reader reader(value, path);
    report_quality reports;
    reports.load_period = reader.milliseconds_or(
        "load_period_ms", reports.load_period, {}, max_period);
    reports.load_lag =
        reader.milliseconds_or("load_lag_ms", reports.load_lag, {}, max_delay);
    reports.cache_period = reader.milliseconds_or(
        "cache_period_ms", reports.cache_period, {}, max_period);
    reports.loss = reader.real_or("loss", reports.loss, 0, 1);
    const status result = reader.finish();
    return is_ok(result) ? outcome<report_quality>(reports) : error_of(result);
}

/// Parses the object under the key into the target, which is unchanged if
/// the key is missing.
template <class T, class Parse>
status read_child(settings_reader& reader,
                  std::string_view key,
                  T& target,
                  Parse parse)
{
    const boost::json::value* value = reader.child(key, false);
    if (value == nullptr)
    {
        return success();
    }
    auto parsed = parse(*value, reader.path_of(key));
    if (!is_ok(parsed))
    {
        return error_of(parsed);
    }
    target = std::move(value_of(parsed));
    return success();
}

outcome<engine_settings> read_engine(settings_reader& reader)
{
    engine_settings engine;
    engine.models = reader.texts_or_empty("models");
    if (engine.models.empty())
    {
        reader.fail("models", "must list at least one model");
    }
    engine.slots = read_bounded_number(reader, "slots", engine.slots, 1);
    engine.token_delay =
        microseconds_or(reader, "token_delay_us", engine.token_delay);
    engine.prefill_token_delay = microseconds_or(
        reader, "prefill_token_delay_us", engine.prefill_token_delay);
    engine.answer_tokens =
        read_bounded_number(reader, "answer_tokens", engine.answer_tokens, 1);
    engine.cache_limit = token_count(reader.number_or(
        "cache_tokens", engine.cache_limit.get(), 0, UINT32_MAX));
    status nested =
        read_child(reader, "cold_start", engine.start, parse_cold_start);
    if (is_ok(nested))
    {
        nested = read_child(reader, "reports", engine.reports, parse_reports);
    }
    return is_ok(nested) ? outcome<engine_settings>(std::move(engine))
                         : error_of(nested);
}

service_settings read_service(settings_reader& reader)
{
    service_settings service;
    service.services = reader.texts_or_empty("services");
    if (service.services.empty())
    {
        reader.fail("services", "must list at least one service");
    }
    service.slots = read_bounded_number(reader, "slots", service.slots, 1);
    service.answer_delay =
        microseconds_or(reader, "answer_delay_us", service.answer_delay);
    return service;
}

outcome<server_settings> parse_server(const boost::json::value& value,
                                      const std::string& path)
{
    settings_reader reader(value, path);
    server_settings server;
    server.id = engine_id(reader.text("id"));
    if (reader.has("incarnation"))
    {
        server.run = incarnation(reader.number("incarnation", 1, INT64_MAX));
    }
    server.data_centre = data_centre_id(reader.text("data_centre"));
    server.listen = endpoint_of(reader, "listen", reader.text("listen"));
    server.checks_fencing = reader.flag_or("checks_fencing", false);
    const std::string kind = reader.text_or("kind", "engine");
    if (kind == "engine")
    {
        auto engine = read_engine(reader);
        if (!is_ok(engine))
        {
            return error_of(engine);
        }
        server.behaviour = std::move(value_of(engine));
    }
    else if (kind == "service")
    {
        server.behaviour = read_service(reader);
    }
    else
    {
        reader.fail("kind", "must be \"engine\" or \"service\"");
    }
    const status result = reader.finish();
    return is_ok(result) ? outcome<server_settings>(std::move(server))
                         : error_of(result);
}

status read_servers(settings_reader& reader, standin_settings& settings)
{
    const boost::json::value* list = reader.child("servers", true);
    if (list == nullptr)
    {
        return success();
    }
    if (!list->is_array() || list->get_array().empty())
    {
        reader.fail("servers", "must be a non-empty list of servers");
        return success();
    }
    std::set<engine_id> seen;
    for (const boost::json::value& item : list->get_array())
    {
        const std::string path = reader.path_of("servers") + "[" +
                                 std::to_string(settings.servers.size()) + "]";
        auto server = parse_server(item, path);
        if (!is_ok(server))
        {
            return error_of(server);
        }
        if (!seen.insert(value_of(server).id).second)
        {
            reader.fail("servers", "two servers have the same id");
        }
        settings.servers.push_back(std::move(value_of(server)));
    }
    return success();
}

} // namespace

outcome<standin_settings>
parse_standin_settings(const boost::json::value& document)
{
    settings_reader reader(document, "standin");
    standin_settings settings;
    const status servers = read_servers(reader, settings);
    if (!is_ok(servers))
    {
        return error_of(servers);
    }
    for (const std::string& text : reader.texts_or_empty("announce_to"))
    {
        settings.announce_to.push_back(
            endpoint_of(reader, "announce_to", text));
    }
    settings.renew_period = reader.milliseconds_or(
        "renew_period_ms", settings.renew_period, milliseconds(10), max_period);
    settings.drain_limit = reader.milliseconds_or(
        "drain_limit_ms", settings.drain_limit, milliseconds(1), max_period);
    settings.seed = reader.number_or("seed", settings.seed, 0, UINT64_MAX);
    settings.threads = reader.number_or("threads", settings.threads, 1, 64);
    auto level = parse_log_level(reader.text_or("log_level", "info"));
    if (is_ok(level))
    {
        settings.lowest_log_level = value_of(level);
    }
    else
    {
        reader.fail("log_level", error_of(level).message);
    }
    const status result = reader.finish();
    return is_ok(result) ? outcome<standin_settings>(std::move(settings))
                         : error_of(result);
}

outcome<standin_settings> read_standin_settings(const std::string& file)
{
    const auto document = read_json_file(file);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    auto settings = parse_standin_settings(value_of(document));
    if (!is_ok(settings))
    {
        return error{error_of(settings).code,
                     file + ": " + error_of(settings).message};
    }
    return settings;
}

} // namespace limpet::standin
