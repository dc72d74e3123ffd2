/// \file
/// Actions that a node returns for its caller to execute.

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

/// Classes of control traffic, each with its own counters.
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

/// Send the bytes to a router. The protocol tolerates loss, delay and
/// duplication.
struct send_message
{
    vm_id to;
    std::string address;
    traffic kind = traffic::membership;
    std::string bytes;
};

/// This router's ownership of an engine changed.
struct ownership_changed
{
    engine_id engine;
    ownership_mode before = ownership_mode::none;
    ownership_mode after = ownership_mode::none;
};

/// A record of a later incarnation of this VM's router was received. This
/// process must stop; its node sends no more messages and owns no engines.
struct superseded
{
    incarnation by;
};

using action = std::variant<send_message, ownership_changed, superseded>;
using actions = std::vector<action>;

} // namespace limpet::membership
