/// \file
/// Cap of a team's open requests at one entry router.

#pragma once

#include <limpet/base/ids.hpp>

#include <cstdint>
#include <unordered_map>

namespace limpet::admission
{

/// Counts the open requests of each team, so that one team's surge cannot fill
/// the memory and queues of the routers. Not thread-safe.
class open_request_cap
{
public:
    /// Sets the cap of teams without one of their own.
    explicit open_request_cap(std::uint32_t fallback);

    /// Sets the team's cap.
    void set(const team_id& team, std::uint32_t cap);

    /// Opens a request. Returns false if the team has reached its cap.
    bool open(const team_id& team);

    /// Closes a request that was opened.
    void close(const team_id& team);

    /// Returns the team's number of open requests.
    std::uint32_t count(const team_id& team) const;

private:
    std::uint32_t m_fallback;
    std::unordered_map<team_id, std::uint32_t> m_caps;
    std::unordered_map<team_id, std::uint32_t> m_open;
};

} // namespace limpet::admission
