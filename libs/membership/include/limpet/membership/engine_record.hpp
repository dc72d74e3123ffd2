/// \file
/// Replicated record of a backend server within a region.

#pragma once

#include <limpet/membership/announcement.hpp>

#include <cstdint>
#include <memory>

namespace limpet::membership
{

/// The latest known state of a backend server. Records of one server are
/// ordered by incarnation, then leaving, then version, then gone; every router
/// keeps the highest, so that all routers converge on the same record.
struct engine_record
{
    /// The server's description. Its leaving flag is also that of the record.
    announcement server;
    /// Incremented when the server is removed, returns under the same
    /// incarnation or changes its description.
    std::uint32_t version = 0;
    /// Whether the server was removed because its lease expired.
    bool gone = false;
    /// Number of recent joins and changes. It sets the backoff before the next
    /// one is accepted.
    std::uint8_t flaps = 0;

    /// Returns whether the server may be sent new requests.
    bool accepts_work() const noexcept
    {
        return !gone && !server.leaving;
    }
};

/// Returns whether the first record replaces the second.
bool supersedes(const engine_record& first,
                const engine_record& second) noexcept;

using engine_ptr = std::shared_ptr<const engine_record>;

} // namespace limpet::membership
