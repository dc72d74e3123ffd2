/// \file
/// One side of the exchange of load counts with one peer.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>
#include <limpet/directory/server_limits.hpp>
#include <limpet/rollout/evidence.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limpet::directory
{

/// Interval at which routers and replicas send the counts that changed. A
/// count passes two replicas at most, so it is known everywhere within three
/// intervals. Short, since the requests that others start meanwhile are the
/// error of a router's view.
constexpr duration load_exchange_period = milliseconds(100);

/// Identifies a server in the exchange: a stable hash of its id.
std::uint64_t load_key_of(const engine_id& server) noexcept;

/// Number of requests in flight at a server.
struct server_load_count
{
    std::uint64_t server = 0;
    std::uint32_t requests = 0;
};

/// Requests in flight by server. Servers with none have no entry.
using load_counts = std::unordered_map<std::uint64_t, std::uint32_t>;

/// Sets the count of a server, removing the entry of one without requests.
void set_count(load_counts& counts, const server_load_count& count);

/// Returns the count of a server, 0 without an entry.
std::uint32_t count_of(const load_counts& counts, std::uint64_t server);

/// One message of the exchange.
struct load_update
{
    /// Earlier counts no longer hold; servers that are not named have none.
    bool resets = false;
    /// The sender dropped what it had received, so that it needs a reset before
    /// it can apply changes again.
    bool wants_reset = false;
    std::vector<server_load_count> changed;
    /// Limits of servers that changed or were confirmed.
    std::vector<server_limit> limits;
    /// Outcomes of a rollout's requests that routers have counted.
    std::vector<rollout::evidence_row> evidence;
};

/// Limits of what is sent to a peer.
struct load_limits
{
    /// Smallest change that is sent; a change to 0 always is.
    std::uint32_t smallest_change = 1;
    /// Most counts in a message. The largest changes go first.
    std::size_t max_counts = 1024;
    /// Most limits of servers in a message. Changes go before confirmations.
    std::size_t max_server_limits = 256;
};

/// Most rows of evidence in a message: 2.6 KB, of which ten messages a second
/// take a thirtieth of a replica's link.
constexpr std::size_t max_evidence_rows = 64;

/// Sends the counts that changed to one peer and applies what it sends. A
/// message waits until the peer has answered the last one, so that none queue
/// up before a peer or link that is slow. Takes the time as an argument; not
/// thread-safe.
class load_peer
{
public:
    /// Returns whether a message may be sent: the peer has answered the last
    /// one or has taken so long that one of the two was probably lost.
    bool may_send(time_point now) const;

    /// Returns the next message, and counts it as received by the peer.
    load_update
    take(const load_counts& current, const load_limits& limits, time_point now);

    /// Adds the servers' limits that the peer does not have to a message.
    void add_server_limits(load_update& update,
                           const limit_table& current,
                           const load_limits& limits);

    /// Applies a message of the peer.
    void apply(const load_update& update);

    /// The peer's counts.
    const load_counts& received() const noexcept
    {
        return m_received;
    }

    /// Sends all counts anew, since messages may have been lost with a link.
    void on_lost();

private:
    /// When the last unanswered message was sent; nothing without one.
    std::optional<time_point> m_unanswered_since;
    load_counts m_sent;
    load_counts m_received;
    /// The servers' limits that the peer has: those that it was sent, and those
    /// that it sent.
    std::unordered_map<std::uint64_t, server_limit> m_peer_limits;
    bool m_is_reset_due = true;
    /// Whether the peer has sent a reset, on which its changes build.
    bool m_has_base = false;
};

} // namespace limpet::directory
