#include <limpet/origins/version_records.hpp>

namespace limpet::origins
{

namespace
{

/// Time after which a server of a version that is not recorded may begin
/// resumable streams. Covers an election and the recording after it; a router
/// that is in touch with most replicas has its registration by then.
constexpr duration unrecorded_time = seconds(3);

} // namespace

void version_records::set(const version_sets& recorded, time_point now)
{
    const time_point received_at = m_has_orders ? now : time_point{};
    m_has_orders = true;
    for (const auto& [service, versions] : recorded)
    {
        for (const version_key version : versions)
        {
            m_recorded_at[service].emplace(version, received_at);
        }
    }
}

bool version_records::may_begin(service_key service,
                                version_key version,
                                time_point known_since,
                                time_point now) const
{
    const auto versions = m_recorded_at.find(service);
    if (versions != m_recorded_at.end() && versions->second.contains(version))
    {
        return versions->second.at(version) + certainty_time <= now;
    }
    return known_since + unrecorded_time <= now;
}

bool version_records::is_possible(service_key service,
                                  version_key version) const
{
    const auto versions = m_recorded_at.find(service);
    return versions == m_recorded_at.end() ||
           versions->second.contains(version);
}

std::set<version_key> version_records::recorded_since(service_key service,
                                                      time_point since) const
{
    std::set<version_key> result;
    const auto versions = m_recorded_at.find(service);
    if (versions == m_recorded_at.end())
    {
        return result;
    }
    for (const auto& [version, received_at] : versions->second)
    {
        if (received_at >= since)
        {
            result.insert(version);
        }
    }
    return result;
}

} // namespace limpet::origins
