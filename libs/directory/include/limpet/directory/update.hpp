/// \file
/// Frames exchanged between control replicas and routers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/directory/intent.hpp>
#include <limpet/directory/load_peer.hpp>
#include <limpet/directory/registration.hpp>
#include <limpet/directory/text_delta.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::directory
{

/// A document as a delta against the document of earlier orders.
struct document_change
{
    /// Log index of the orders whose document is the base.
    std::uint64_t base_index = 0;
    /// An encoded text_delta. Kept encoded, so that it is encoded once for all
    /// receivers.
    std::string delta;
};

/// A router that began or ceased to subscribe to the sender.
struct router_change
{
    vm_id vm;
    data_centre_id data_centre;
    bool is_gone = false;
};

/// One frame. Every field is optional.
struct update
{
    /// Whether the sender subscribes to changes.
    bool subscribes = false;
    bool is_router = false;
    /// Log index of the orders in force at the sender.
    std::uint64_t intent_index = 0;
    /// Log index of the orders whose document the sender stores: those in force
    /// or newer ones that are not confirmed yet.
    std::uint64_t document_index = 0;
    std::optional<intent> orders;
    /// Whether the sender guarantees that no newer orders were acknowledged.
    /// Without the guarantee the orders are committed too, but there may be
    /// newer ones.
    bool is_sure = false;
    /// Replaces the document of the orders.
    std::optional<document_change> change;
    /// Time for which the replica that sent the orders has had them.
    duration held{};
    /// Of a frame that subscribes: whether the router passes orders on and
    /// takes them from other routers.
    bool forwards = false;
    /// Of a frame with orders to a router: the routers to which it passes them
    /// on.
    std::vector<vm_id> forward_to;
    /// Of a frame that a router passes on: the replica that sent the orders,
    /// which expects the receiver's subscription. Empty otherwise.
    vm_id forwarded_for;
    /// Replicas known to the sender.
    std::vector<vm_id> replicas;
    /// Number of routers that sent the sender a frame recently.
    std::uint32_t routers = 0;
    /// Whether the lists contain all registrations and all routers known to the
    /// sender.
    bool is_complete = false;
    std::vector<router_change> router_changes;
    /// Time for which the sender knows all registrations, also of servers that
    /// have left since.
    duration history{};
    std::vector<registration> registrations;
    /// Whether long lists of registrations and routers may be sent compressed:
    /// the receiver is of a release that reads them.
    bool may_be_packed = false;
    /// Servers that reported to the sender and changed nothing.
    std::vector<heartbeat> heartbeats;
    /// Of a frame that subscribes: digests of the sender's registrations. The
    /// receiver need not send what the sender has.
    std::optional<table_digests> digests;
    /// Of a frame that subscribes: the time of sending by the sender's clock.
    /// Of a frame to a router: the time in the newest subscription of the
    /// router that the sender has received. Other processes cannot interpret
    /// it.
    time_point asked_at{};
    /// Whether the sender has applied all entries of its log, so that it would
    /// know of orders that were committed before the router asked, unless most
    /// replicas do not.
    bool is_settled = false;
    /// Set in a frame that is for the exchange of loads and nothing else. A
    /// router that sends it relies on the receiver for the loads of others.
    std::optional<load_update> loads;
};

/// Time after a change of its registrations for which a subscriber reports the
/// digests. Replicas ask for them only about changes of about the last second;
/// a fleet without changes saves the bytes.
constexpr duration digest_report_time = seconds(3);

/// Returns the frame with the orders of `from`, a frame of the replica, for the
/// routers of its `forward_to`. It confirms nothing: the router may pass it on
/// late, when there are newer orders.
update make_forwarded_update(const update& from, const vm_id& replica);

/// Encodes a frame. Times are sent relative to `now`, so that the clocks of
/// sender and receiver need not be synchronised.
std::string encode(const update& from, time_point now);

/// Decodes a frame received at `now`. Errors: malformed, corrupt.
outcome<update> decode_update(std::string_view bytes, time_point now);

} // namespace limpet::directory
