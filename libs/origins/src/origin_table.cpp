#include <limpet/origins/origin_table.hpp>

namespace limpet::origins
{

origin_table::origin_table(std::size_t max_streams)
    : m_max_streams(max_streams)
{
}

void origin_table::put(const origin& added, time_point now)
{
    while (!m_by_end.empty() && m_by_end.begin()->first <= now)
    {
        erase_first();
    }
    const time_point expires_at = now + added.lifetime;
    const auto [found, is_new] = m_entries.try_emplace(added.stream);
    if (!is_new)
    {
        m_by_end.erase({found->second.expires_at, added.stream});
    }
    found->second = {added.service, added.version, expires_at};
    m_by_end.emplace(expires_at, added.stream);
    if (m_entries.size() > m_max_streams)
    {
        erase_first();
    }
}

std::optional<origin> origin_table::find(stream_key stream,
                                         time_point now) const
{
    const auto found = m_entries.find(stream);
    if (found == m_entries.end() || found->second.expires_at <= now)
    {
        return std::nullopt;
    }
    return origin{stream,
                  found->second.service,
                  found->second.version,
                  found->second.expires_at - now};
}

std::vector<origin> origin_table::all(time_point now) const
{
    std::vector<origin> result;
    for (const auto& [expires_at, stream] : m_by_end)
    {
        if (const auto found = find(stream, now))
        {
            result.push_back(*found);
        }
    }
    return result;
}

void origin_table::erase_first()
{
    m_entries.erase(m_by_end.begin()->second);
    m_by_end.erase(m_by_end.begin());
}

} // namespace limpet::origins
