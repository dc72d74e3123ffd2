#include <limpet/base/settings_reader.hpp>
#include <limpet/gateway/gateway_settings.hpp>
#include <limpet/http/endpoint.hpp>

namespace limpet::gateway
{

namespace
{

constexpr duration max_drain = std::chrono::hours(1);
constexpr std::uint64_t max_memory_mb = 1024UL * 1024;
constexpr std::uint64_t bytes_per_mb = 1024UL * 1024;
constexpr std::uint64_t max_max_descriptors = 1024UL * 1024;

using boost::asio::ip::tcp;

tcp::endpoint read_endpoint(settings_reader& reader,
                            std::string_view key,
                            const std::string& text)
{
    const auto parsed = http::parse_endpoint(text);
    if (!is_ok(parsed))
    {
        reader.fail(key, error_of(parsed).message);
        return {};
    }
    return value_of(parsed);
}

} // namespace

outcome<gateway_settings>
parse_gateway_settings(const boost::json::value& document)
{
    settings_reader reader(document, "gateway");
    gateway_settings settings;
    settings.vm = vm_id(reader.text("vm"));
    settings.data_centre = data_centre_id(reader.text("data_centre"));
    settings.callers = read_endpoint(reader, "callers", reader.text("callers"));
    settings.readiness =
        read_endpoint(reader, "readiness", reader.text("readiness"));
    settings.peers = read_endpoint(reader, "peers", reader.text("peers"));
    if (reader.has("metrics"))
    {
        settings.metrics =
            read_endpoint(reader, "metrics", reader.text("metrics"));
    }
    for (const std::string& seed : reader.texts_or_empty("seeds"))
    {
        settings.seeds.push_back(read_endpoint(reader, "seeds", seed));
    }
    settings.drain_timeout = reader.milliseconds_or("drain_timeout_ms",
                                                    settings.drain_timeout,
                                                    duration::zero(),
                                                    max_drain);
    settings.retry_ratio =
        reader.real_or("retry_ratio", settings.retry_ratio, 0, 1);
    if (reader.has("rollout_exposure_share"))
    {
        settings.rollout_exposure_share =
            reader.real_or("rollout_exposure_share", 0, 0, 1);
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
    const auto level = parse_log_level(reader.text_or("log_level", "info"));
    if (is_ok(level))
    {
        settings.log = value_of(level);
    }
    else
    {
        reader.fail("log_level", error_of(level).message);
    }
    const status result = reader.finish();
    if (!is_ok(result))
    {
        return error_of(result);
    }
    return settings;
}

} // namespace limpet::gateway
