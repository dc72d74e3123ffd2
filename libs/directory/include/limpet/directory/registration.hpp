/// \file
/// Registrations of backend servers and the table that merges them.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpet::directory
{

/// State of a backend server.
enum class server_state : std::uint8_t
{
    ready = 1,
    draining = 2, ///< Finishes its requests and takes no new ones.
    gone = 3,     ///< Has left. Kept for a while to reject late registrations.
    silent = 4,   ///< Its heartbeats stopped; it may still work.
};

std::string_view to_string(server_state state) noexcept;

/// Latest registration of a backend server, which the server repeats as its
/// heartbeat.
struct registration
{
    engine_id id;
    std::string service;
    /// IP:PORT.
    std::string address;
    data_centre_id data_centre;
    /// Unix time of the server's start in milliseconds, 0 if unknown.
    std::uint64_t born_ms = 0;
    /// Increases with each registration since that start.
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    /// Version of the server's software; empty if it comes from a replica that
    /// does not pass it on. Servers of several versions may serve at one time.
    std::string version;
    server_state state = server_state::ready;
    /// Time until which the server is limited to its cold rate; the epoch if it
    /// is not cold.
    time_point cold_until{};
    /// Arrival of the last heartbeat at any replica.
    time_point heard_at{};
};

/// Returns whether the server must get no more requests.
bool is_leaving(const registration& server) noexcept;

/// Returns whether `a` is older than `b`, a registration of the same id: of an
/// earlier start, of the same start and not gone, or else of a lower sequence.
bool is_older(const registration& a, const registration& b);

/// Result of merging a registration into the table.
enum class merge_result
{
    changed,   ///< The entry changed; routers must be notified.
    refreshed, ///< Only a heartbeat: no relevant field changed.
    stale,     ///< Ignored, as it is older than the entry.
    full,      ///< Ignored, as the table is full and does not know the server.
    ambiguous, ///< Ignored, as it may concern an earlier start of the server.
};

std::string_view to_string(merge_result result) noexcept;

/// A registration that changes nothing but its sequence and arrival, as one
/// replica reports it to others that know the server.
struct heartbeat
{
    /// Hash of the server's id and start.
    std::uint64_t server = 0;
    std::uint64_t sequence = 0;
    time_point heard_at{};
};

heartbeat heartbeat_of(const registration& server);

/// Digests of the servers that are not gone, each of a fixed part of the ids.
/// Equal at tables with equal content, wherever it came from; heartbeats do not
/// change them.
constexpr std::size_t digest_count = 32;
using table_digests = std::array<std::uint32_t, digest_count>;

/// Returns the index of the digest that the server belongs to.
std::size_t digest_index(const engine_id& id) noexcept;

/// All known backend servers. A later start replaces an earlier one under the
/// same id, and of two ids at one address the one that started later owns it.
/// Registrations may arrive in any order, from several replicas. Not
/// thread-safe.
class registration_table
{
public:
    /// Largest number of servers, including those that left a short time ago.
    /// Above the 12,000 of the largest fleet, with room for all that are
    /// replaced while their rows are retained.
    static constexpr std::size_t max_servers = 30'000;

    /// Time for which a message of an earlier start may arrive after the first
    /// registration of a later one.
    static constexpr duration late_message_time = seconds(5);

    using visitor = std::function<void(const registration&)>;
    /// Takes a registration and the number of its last change.
    using change_visitor =
        std::function<void(const registration&, std::uint64_t)>;

    static constexpr std::uint64_t no_limit =
        std::numeric_limits<std::uint64_t>::max();

    registration_table() = default;
    registration_table(const registration_table&) = delete;
    registration_table& operator=(const registration_table&) = delete;

    /// Returns how many rows changes_after() has examined so far, which is
    /// what it costs.
    std::uint64_t rows_examined() const noexcept
    {
        return m_rows_examined;
    }

    /// Merges a registration from a server or another replica. One that is gone
    /// and has no address tells only that, and leaves the other fields.
    merge_result merge(const registration& incoming);

    /// Records the heartbeat, unless the server is unknown or gone. Returns
    /// whether the server was silent before.
    bool record_heartbeat(const heartbeat& incoming);

    /// Marks the server as gone after it deregistered. Returns stale if it is
    /// unknown or already gone, and ambiguous if it has started again within
    /// late_message_time: a deregistration does not tell which start sent it.
    merge_result leave(const engine_id& id, time_point now);

    /// Returns whether a deregistration of the server may be one of an earlier
    /// start; see leave().
    bool is_start_ambiguous(const engine_id& id, time_point now) const;

    /// Marks ready servers as silent if their last heartbeat came before
    /// `since`.
    void mark_silent(time_point since);

    /// Removes servers that left or sent their last heartbeat before `since`.
    void forget_silent(time_point since);

    const registration* find(const engine_id& id) const;

    void for_each(const visitor& visit) const;

    /// Calls `visit` for each registration whose last change has a number in
    /// (number, until], in the order of the changes, at most `limit` times.
    /// Returns the number of the change up to which it has come: `until` or the
    /// newest one, or that of the last one visited if there are more.
    std::uint64_t changes_after(std::uint64_t number,
                                const change_visitor& visit,
                                std::uint64_t until = no_limit,
                                std::uint64_t limit = no_limit) const;

    /// Returns the number of the newest change.
    std::uint64_t last_change() const noexcept
    {
        return m_changes;
    }

    const table_digests& digests() const noexcept
    {
        return m_digests;
    }

    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct entry
    {
        registration value;
        std::uint64_t change = 0;
        /// Key under which heartbeats report the server.
        std::uint64_t key = 0;
        /// What the entry adds to its digest of the table.
        std::uint32_t digest = 0;
        /// When this start replaced an earlier one under the same id.
        std::optional<time_point> replaced_at;
    };

    /// Numbers a change of the entry.
    void record_change(entry& changed);
    void update_digest(entry& changed);
    void retire_previous_owner(const registration& owner);

    std::map<engine_id, entry> m_entries;
    /// Entries by the number of their last change.
    std::map<std::uint64_t, const entry*> m_by_change;
    std::unordered_map<std::uint64_t, entry*> m_by_key;
    std::map<std::string, engine_id> m_address_owners;
    std::uint64_t m_changes = 0;
    table_digests m_digests{};
    mutable std::uint64_t m_rows_examined = 0;
};

} // namespace limpet::directory
