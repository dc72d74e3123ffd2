/// \file
/// Cap of a team's open requests at one entry router.

#pragma once

#include <limpet/base/ids.hpp>

#include <cstdint>
#include <unordered_map>

namespace limpet::admission
{

/// Caps the open requests of each team, so that one team's surge cannot exhaust
/// the routers' memory and queues. Not thread-safe.
class open_request_cap
{
public:
    /// `default_cap` applies to teams without a cap of their own.
    explicit open_request_cap(std::uint32_t default_cap);

    /// Sets the team's cap.
    void set(const team_id& team, std::uint32_t cap);

    /// Opens a request. Returns false if the team has reached its cap.
    bool open(const team_id& team);

    /// Closes a request that was opened.
    void close(const team_id& team);

    /// Returns the team's number of open requests.
    std::uint32_t count(const team_id& team) const;

private:
    std::uint32_t m_default_cap;
    std::unordered_map<team_id, std::uint32_t> m_caps;
    std::unordered_map<team_id, std::uint32_t> m_open;
};

} // namespace limpet::admission
