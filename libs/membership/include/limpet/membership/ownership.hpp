/// \file
/// What a router may do with an engine.

#pragma once

#include <limpet/base/ids.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace limpet::membership
{

/// How far a router owns an engine.
enum class ownership_mode : std::uint8_t
{
    none,    ///< Not the owner: answer not_owner.
    limited, ///< The former owner's lease may still hold, or no quorum is
             ///< heard: dispatch up to the cold limit only.
    full     ///< The only dispatcher: dispatch up to the engine's limit.
};

/// Returns the mode's name as used in logs and JSON answers.
std::string_view to_string(ownership_mode mode) noexcept;

/// What the former owner passed on.
struct handed_over
{
    /// Requests of the former owner that are still running on the engine.
    /// They count against the limit; the number falls as they end.
    std::uint32_t in_flight = 0;
    /// Adaptive limit that the former owner had reached.
    std::uint32_t limit = 0;
};

/// A router's standing towards an engine at one moment.
struct ownership
{
    ownership_mode mode = ownership_mode::none;
    /// Number for orders to the engine.
    fencing_number fencing;
    /// Whether orders may be given: the fencing number is known to a quorum
    /// and, for engines that do not check it, the former lease has run out.
    bool may_order = false;
    /// Set if the former owner handed over.
    std::optional<handed_over> inherited;
};

} // namespace limpet::membership
