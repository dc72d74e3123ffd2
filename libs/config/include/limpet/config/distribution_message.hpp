/// \file
/// Messages that replicate the configuration from control to the routers.

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

/// Revisions in force in one data centre, as reported by its relay.
struct force_report
{
    data_centre_id data_centre;
    /// Lowest revision in force on any live router; 0 if a router has no
    /// configuration.
    revision lowest;
    /// Number of live routers.
    std::uint32_t routers = 0;
    /// Routers whose revision is lower than the relay's; the list is
    /// truncated to a maximum length.
    std::vector<vm_id> lagging;

    friend bool operator==(const force_report&, const force_report&) = default;
};

/// Reports the position that the sender has in force.
struct sync_message
{
    /// Whether the receiver must respond even if both positions are equal.
    bool ask = true;
    /// Whether the receiver must push subsequent changes to the sender.
    bool subscribe = false;
    /// Absent if the sender has no configuration.
    std::optional<position> have;
    /// Set only in messages from relays to control replicas.
    std::optional<force_report> report;

    friend bool operator==(const sync_message&, const sync_message&) = default;
};

/// Consecutive changes that follow a position.
struct updates_message
{
    position before;
    /// Updates in the format written by encode(const update&).
    std::vector<std::string> entries;

    friend bool operator==(const updates_message&,
                           const updates_message&) = default;
};

/// Requests one part of a snapshot.
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

/// A message and its destination VM.
struct outgoing_message
{
    vm_id to;
    distribution_message content;
};

/// Encodes the message as a FlatBuffer.
std::string encode(const distribution_message& message);

/// Verifies and decodes an encoded message.
outcome<distribution_message> decode_distribution(std::string_view bytes);

} // namespace limpet::config
