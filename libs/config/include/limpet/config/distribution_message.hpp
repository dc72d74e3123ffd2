/// \file
/// Messages that carry the configuration from control to the routers.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/position.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpet::config
{

/// The revisions in force in one data centre, from its relay router.
struct force_report
{
    data_centre_id data_centre;
    /// Lowest revision in force at a live router; 0 if one has none.
    revision lowest;
    std::uint32_t routers = 0;
    /// Some of the routers at less than the relay's revision.
    std::vector<vm_id> lagging;

    friend bool operator==(const force_report&, const force_report&) = default;
};

/// Tells the receiver what the sender has in force.
struct sync_message
{
    /// Whether the receiver answers even if both have the same.
    bool ask = true;
    /// Whether the receiver sends further changes as they come.
    bool subscribe = false;
    /// Absent if the sender has no configuration.
    std::optional<position> have;
    /// From relays to control only.
    std::optional<force_report> report;

    friend bool operator==(const sync_message&, const sync_message&) = default;
};

/// Consecutive changes after a position.
struct updates_message
{
    position before;
    /// Encoded updates.
    std::vector<std::string> entries;

    friend bool operator==(const updates_message&,
                           const updates_message&) = default;
};

/// Asks for one part of a snapshot.
struct part_request
{
    position of;
    std::uint32_t index = 0;

    friend bool operator==(const part_request&, const part_request&) = default;
};

/// One part of a snapshot.
struct snapshot_part
{
    position of;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;

    friend bool operator==(const snapshot_part&,
                           const snapshot_part&) = default;
};

using distribution_message =
    std::variant<sync_message, updates_message, part_request, snapshot_part>;

/// A message and the VM to send it to.
struct outgoing_message
{
    vm_id to;
    distribution_message content;
};

/// Returns the bytes of the message.
std::string encode(const distribution_message& message);

/// Verifies and parses an encoded message.
outcome<distribution_message> decode_distribution(std::string_view bytes);

} // namespace limpet::config
