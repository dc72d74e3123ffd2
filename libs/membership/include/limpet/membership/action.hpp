/// \file
/// What the membership asks its caller to do.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>
#include <limpet/membership/ownership.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpet::membership
{

/// Classes of control traffic, counted apart.
enum class traffic : std::uint8_t
{
    membership,
    announcements,
    digests,
    ownership
};

/// Number of values of traffic.
constexpr std::size_t traffic_count = 4;

/// Returns the class's name as used in metrics.
std::string_view to_string(traffic kind) noexcept;

/// Send the bytes to a router; they may be lost, late or repeated.
struct send_message
{
    vm_id to;
    std::string address;
    traffic kind = traffic::membership;
    std::string bytes;
};

/// This router's standing towards an engine changed.
struct ownership_changed
{
    engine_id engine;
    ownership_mode before = ownership_mode::none;
    ownership_mode after = ownership_mode::none;
};

/// A later incarnation of this VM's router was heard of. This process must
/// stop; the node sends nothing more and owns nothing.
struct superseded
{
    incarnation by;
};

using action = std::variant<send_message, ownership_changed, superseded>;
using actions = std::vector<action>;

} // namespace limpet::membership
