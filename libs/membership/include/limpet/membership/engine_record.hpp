/// \file
/// What the routers of a region know of each backend server.

#pragma once

#include <limpet/membership/announcement.hpp>

#include <cstdint>
#include <memory>

namespace limpet::membership
{

/// The latest known state of a backend server. Records of one server are
/// ordered by incarnation, then leaving, then version, then gone; the highest
/// wins everywhere.
struct engine_record
{
    /// The server's description; its leaving flag is the record's.
    announcement server;
    /// Raised by the owner when the server is removed or comes back under the
    /// same incarnation, or its description changes.
    std::uint32_t version = 0;
    /// Whether the server's lease ran out.
    bool gone = false;
    /// Recent joins and removals, which delay the next join.
    std::uint8_t flaps = 0;

    /// Returns whether the server may get new work.
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
