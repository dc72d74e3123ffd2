/// \file
/// Departures of backend servers, which the control group's log records before
/// they are acknowledged.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/directory/registration.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpet::directory
{

/// Time for which a departure is remembered: messages that the server sent
/// before may be late by seconds.
constexpr duration departure_retention = seconds(60);

/// Returns the departure of a server that drains or is gone. A server that is
/// gone is described by its id, start and sequence alone.
registration departure_of(const registration& server);

/// Entry of the log: servers that have reported that they drain or leave.
struct departure_report
{
    /// Departures. Their times are not transmitted.
    std::vector<registration> servers;
    /// Log index up to which recorded departures are forgotten.
    std::uint64_t forgotten_index = 0;
};

std::string encode(const departure_report& report);

/// Decodes an entry of the log. Errors: malformed.
outcome<departure_report> decode_departure_report(std::string_view bytes);

/// The recorded departures that are still remembered. Deterministic: equal logs
/// give equal tables. Not thread-safe.
class departure_table
{
public:
    /// Number of departures beyond which the oldest are forgotten.
    static constexpr std::size_t max_departures =
        registration_table::max_servers;

    struct entry
    {
        registration server;
        /// Log index of the report that recorded it.
        std::uint64_t index = 0;
    };

    /// Applies the report at the log index.
    void apply(std::uint64_t index, const departure_report& report);

    /// Returns whether the departure, or a later one of the server, is
    /// recorded. A departure without a time of the start is covered by any
    /// deregistration of the server.
    bool covers(const registration& departure) const;

    /// Returns whether any departure of the start, or of a later one, is
    /// recorded.
    bool has_departed(const engine_id& id, std::uint64_t born_ms) const;

    /// Calls `visit` for each departure recorded after the log index, in the
    /// order of the log.
    void for_each_after(std::uint64_t index,
                        const std::function<void(const entry&)>& visit) const;

    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

    /// Returns the log index of the oldest departure, 0 if there is none.
    std::uint64_t first_index() const noexcept
    {
        return m_by_index.empty() ? 0 : m_by_index.begin()->first;
    }

    /// Returns the log index of the newest departure, 0 if there is none.
    std::uint64_t last_index() const noexcept
    {
        return m_by_index.empty() ? 0 : m_by_index.rbegin()->first;
    }

private:
    void record(std::uint64_t index, const registration& server);
    void forget_oldest();

    std::map<engine_id, entry> m_entries;
    std::set<std::pair<std::uint64_t, engine_id>> m_by_index;
};

} // namespace limpet::directory
