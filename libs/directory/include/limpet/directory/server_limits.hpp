/// \file
/// Limits that servers name for the requests of all routers together.

#pragma once

#include <limpet/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace limpet::directory
{

/// Interval at which routers tell each other that a limit still holds.
constexpr duration limit_confirmation_period = seconds(5);

/// What a server's answers say of the requests that it takes.
struct server_limit
{
    /// Hash of the server's id and start. A restarted server has another one.
    std::uint64_t server = 0;
    /// Increases with each change; the highest wins.
    std::uint32_t revision = 0;
    /// Requests a second; nothing once the server's answers name no limit.
    std::optional<double> rate;
    /// Selects the routers that may send to the server.
    std::uint32_t turn = 0;
    /// When an answer last said so.
    time_point confirmed_at{};
    /// Whether the server's answers say that it leaves, which is final: it
    /// takes no more requests, and names no limit any more.
    bool is_leaving = false;
    /// Whether the server turns all requests away, until one is accepted. It
    /// names no limit then.
    bool is_closed = false;
};

/// Returns whether the two say the same under the same revision.
bool is_same_limit(const server_limit& a, const server_limit& b) noexcept;

/// What is known of each server that ever named a limit or said that it leaves.
/// Takes the time as an argument; not thread-safe.
class limit_table
{
public:
    /// Limits of further servers are not stored.
    static constexpr std::size_t max_limits = 16'384;

    /// Returns nullptr for a server that named no limit.
    const server_limit* find(std::uint64_t server) const;

    /// Stores a limit that this process learned from an answer.
    void set(const server_limit& limit);

    /// Stores a limit that another process sent, if it is newer. Returns
    /// whether the limit has changed.
    bool merge(const server_limit& received);

    /// Removes limits that no answer has confirmed for ten minutes.
    void remove_unconfirmed(time_point now);

    const std::unordered_map<std::uint64_t, server_limit>& all() const noexcept
    {
        return m_limits;
    }

private:
    std::unordered_map<std::uint64_t, server_limit> m_limits;
};

} // namespace limpet::directory
