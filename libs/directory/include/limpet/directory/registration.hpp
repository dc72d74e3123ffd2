/// \file
/// What a backend server says of itself, and the table of all of them.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::directory
{

/// Whether a backend server takes new requests.
enum class server_state : std::uint8_t
{
    ready = 1,
    draining = 2, ///< Finishes what it has and takes nothing new.
    gone = 3,     ///< Has left. Kept for a while against late news.
    silent = 4,   ///< Has not been heard of; may still work.
};

std::string_view to_string(server_state state) noexcept;

/// One start of a backend server, as it last described itself.
struct registration
{
    engine_id id;
    std::string service;
    /// IP:PORT.
    std::string address;
    data_centre_id data_centre;
    /// Unix milliseconds of the start, 0 if not told.
    std::uint64_t born_ms = 0;
    /// Rises with each description of one start.
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    server_state state = server_state::ready;
    /// Moment until which the server bears only its cold rate; the epoch if
    /// it is not cold.
    time_point cold_until{};
    /// Last sign of life that reached any replica.
    time_point heard_at{};
};

/// Why a description was not taken.
enum class merge_result
{
    changed,   ///< Routers must hear of it.
    refreshed, ///< Only a sign of life.
    stale,     ///< Older than what is known.
};

std::string_view to_string(merge_result result) noexcept;

/// All backend servers that were heard of. A later start replaces an earlier
/// one under the same id, and of two ids at one address the one born later
/// holds it. Descriptions may arrive in any order, from several replicas.
/// Not thread-safe.
class registration_table
{
public:
    using visitor = std::function<void(const registration&)>;

    /// Takes what a server or another replica tells.
    merge_result merge(const registration& news);

    /// Notes that the server said that it has left. Returns stale if it is
    /// unknown or had left before.
    merge_result leave(const engine_id& id, time_point now);

    /// Marks ready servers that were last heard of before the time.
    void mark_silent(time_point since);

    /// Forgets servers that left before the time, and servers not heard of
    /// since.
    void forget_silent(time_point since);

    const registration* find(const engine_id& id) const;

    void for_each(const visitor& visit) const;

    /// Calls for each registration changed after the number, and returns the
    /// number of the newest change.
    std::uint64_t changes_after(std::uint64_t number,
                                const visitor& visit) const;

    std::size_t size() const noexcept
    {
        return m_rows.size();
    }

private:
    struct row
    {
        registration value;
        std::uint64_t change = 0;
    };

    void retire_former_holder(const registration& holder);

    std::map<engine_id, row> m_rows;
    std::map<std::string, engine_id> m_addresses;
    std::uint64_t m_changes = 0;
};

} // namespace limpet::directory
