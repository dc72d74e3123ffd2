/// \file
/// Ownership of engines by routers.

#pragma once

#include <limpet/base/ids.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace limpet::membership
{

/// Degree to which a router owns an engine.
enum class ownership_mode : std::uint8_t
{
    none,    ///< Not the owner: requests are refused with not_owner.
    limited, ///< The former owner's lease may still be valid, or no quorum
             ///< is reachable: dispatch up to the cold limit only.
    full     ///< The only dispatcher: dispatch up to the engine's limit.
};

/// Returns the mode's name as used in logs and JSON answers.
std::string_view to_string(ownership_mode mode) noexcept;

/// State of an engine that its former owner handed over.
struct handed_over
{
    /// Requests of the former owner that are still running on the engine.
    /// They count against the limit; the number falls as they finish.
    std::uint32_t in_flight = 0;
    /// Adaptive limit of the engine at the former owner, in requests.
    std::uint32_t limit = 0;
};

/// Ownership of an engine by this router at one point in time.
struct ownership
{
    ownership_mode mode = ownership_mode::none;
    /// Fencing number to send with orders to the engine.
    fencing_number fencing;
    /// Whether the router may send orders to the engine: a quorum has
    /// acknowledged the fencing number and, for an engine that does not check
    /// fencing numbers, this router is the full owner, so that no former owner
    /// can still send orders.
    bool may_order = false;
    /// Set if the former owner handed the engine over.
    std::optional<handed_over> inherited;
};

} // namespace limpet::membership
