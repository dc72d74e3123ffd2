#include <limpet/admission/open_request_cap.hpp>

namespace limpet::admission
{

open_request_cap::open_request_cap(std::uint32_t default_cap)
    : m_default_cap(default_cap)
{
}

void open_request_cap::set(const team_id& team, std::uint32_t cap)
{
    m_caps[team] = cap;
}

bool open_request_cap::open(const team_id& team)
{
    const auto own = m_caps.find(team);
    const std::uint32_t cap = own == m_caps.end() ? m_default_cap : own->second;
    if (count(team) >= cap)
    {
        return false;
    }
    ++m_open[team];
    return true;
}

void open_request_cap::close(const team_id& team)
{
    const auto found = m_open.find(team);
    if (found != m_open.end() && --found->second == 0)
    {
        m_open.erase(found);
    }
}

std::uint32_t open_request_cap::count(const team_id& team) const
{
    const auto found = m_open.find(team);
    return found == m_open.end() ? 0 : found->second;
}

} // namespace limpet::admission
