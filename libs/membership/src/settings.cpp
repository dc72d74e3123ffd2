#include <limpet/membership/settings.hpp>

namespace limpet::membership
{

namespace
{

constexpr auto min_duration = milliseconds(10);
constexpr auto max_duration = seconds(3600);

void read(settings_reader& reader, std::string_view key, duration& value)
{
    value = reader.milliseconds_or(key, value, min_duration, max_duration);
}

void read(settings_reader& reader, std::string_view key, std::uint32_t& value)
{
    constexpr std::uint64_t highest = 1000000;
    value =
        static_cast<std::uint32_t>(reader.number_or(key, value, 1, highest));
}

void check(settings_reader& reader, const settings& values)
{
    if (values.probe_timeout + values.probe_timeout > values.suspicion)
    {
        reader.fail("suspicion_ms", "must be at least twice probe_timeout_ms");
    }
    if (values.ownership_lease < 4 * values.probe_period)
    {
        reader.fail("ownership_lease_ms",
                    "must be at least four times probe_period_ms");
    }
    if (values.engine_lease < 2 * values.engine_renewal)
    {
        reader.fail("engine_lease_ms",
                    "must be at least twice engine_renewal_ms");
    }
}

} // namespace

outcome<settings> parse_settings(const boost::json::value& object,
                                 const std::string& path)
{
    settings_reader reader(object, path);
    settings result;
    read(reader, "probe_period_ms", result.probe_period);
    read(reader, "probe_timeout_ms", result.probe_timeout);
    read(reader, "indirect_probes", result.indirect_probes);
    read(reader, "suspicion_ms", result.suspicion);
    read(reader, "gossip_period_ms", result.gossip_period);
    read(reader, "gossip_fanout", result.gossip_fanout);
    read(reader, "sync_period_ms", result.sync_period);
    read(reader, "ownership_lease_ms", result.ownership_lease);
    read(reader, "engine_lease_ms", result.engine_lease);
    read(reader, "engine_renewal_ms", result.engine_renewal);
    read(reader, "retention_ms", result.retention);
    read(reader, "hold_down_ms", result.hold_down);
    read(reader, "max_hold_down_ms", result.max_hold_down);
    read(reader, "digest_period_ms", result.digest_period);
    read(reader, "region_period_ms", result.region_period);
    read(reader, "max_engines", result.max_engines);
    read(reader, "max_routers", result.max_routers);
    check(reader, result);
    auto finished = reader.finish();
    if (!is_ok(finished))
    {
        return error_of(finished);
    }
    return result;
}

} // namespace limpet::membership
