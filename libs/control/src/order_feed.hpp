/// \file
/// Distributes the operators' orders to routers.

#pragma once

#include "delivery_window.hpp"
#include "document_history.hpp"
#include "order_delivery.hpp"

#include <limpet/directory/update.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace limpet::control
{

/// Functions of the surrounding replica that the feed calls.
struct order_source
{
    /// Returns the orders that this replica has applied. All are committed.
    std::function<const directory::intent&()> orders;
    /// Returns whether this replica holds the leader lease, so that no newer
    /// orders can have been acknowledged.
    std::function<bool()> has_lease;
    /// Returns the replicas that are reachable, including this one.
    std::function<std::vector<vm_id>()> replicas;
    /// Returns whether the link has capacity for a document.
    std::function<bool()> has_capacity;
};

/// A router that reported, and when.
struct router_report
{
    vm_id vm;
    data_centre_id data_centre;
    time_point at{};
};

/// Decides which orders each router is sent, and when.
///
/// The first state comes into force at a router once a leader that holds its
/// lease confirms it, or most replicas show that they have no newer one. Later
/// states may come from any replica, since committed orders are never rolled
/// back. Updates that would fill the leader's link are therefore
/// distributed over the replicas: each router is assigned one replica that
/// relays documents to it. The leader only confirms these documents, or sends
/// them itself if they do not arrive within the relay timeout.
///
/// A document that would fill the link crosses it once for several routers of
/// a data centre: one of them passes it on to the others. Each of them reports
/// to this replica, which sends the document itself if the report is late.
///
/// Takes the time as an argument; not thread-safe.
class order_feed
{
public:
    order_feed(vm_id self, order_source source);

    /// Records orders that were applied at the time.
    void orders_changed(time_point now);

    /// Records the indexes that a router reported; is_new if the router
    /// restarted or was not known. Returns whether a document has arrived at
    /// the router.
    bool record_state(const router_report& from,
                      const directory::update& frame,
                      bool is_new);

    /// Adds the orders that the router is to be sent now to the frame, if any.
    void
    add_orders(directory::update& frame, const vm_id& router, time_point now);

    /// Returns whether a document was left to a later round, for lack of
    /// capacity, since the last call of begin_round() or in the round before.
    bool has_deferred() const noexcept
    {
        return m_has_deferred || m_had_deferred;
    }

    /// Begins a round of updates to all routers.
    void begin_round()
    {
        m_had_deferred = std::exchange(m_has_deferred, false);
    }

    /// Returns whether this replica is the one assigned to the router.
    bool is_relay_of(const vm_id& router) const;

    /// Handles the loss of the link to the router: orders in flight are lost.
    void on_lost(const vm_id& router);

    /// Removes the state of the router.
    void forget(const vm_id& router);

private:
    /// Document to send to a router: a delta, or else the complete document.
    struct document_payload
    {
        std::optional<directory::document_change> change;
        std::size_t bytes = 0;
    };

    struct router_state
    {
        order_delivery delivery;
        data_centre_id data_centre;
        time_point heard_at{};
        /// Whether it passes orders on and takes them from other routers.
        bool forwards = false;
    };

    document_payload make_payload(const order_delivery& to);
    bool is_small(const document_payload& payload) const;
    bool needs_orders(const order_delivery& to, time_point now) const;
    bool should_send(order_delivery& to,
                     const vm_id& router,
                     const document_payload& payload,
                     time_point now) const;
    /// Returns the routers to which the forwarder, which is sent the payload,
    /// passes it on, and records that it is on its way to them.
    std::vector<vm_id> take_forward_targets(const vm_id& forwarder,
                                            const document_payload& payload,
                                            time_point now);
    /// Returns whether the router is near the forwarder, lacks what that is
    /// sent, and can read it: both hold the same document now.
    bool needs_same_document(const router_state& router,
                             const router_state& forwarder,
                             time_point now) const;

    vm_id m_self;
    order_source m_source;
    std::map<vm_id, router_state> m_routers;
    document_history m_documents;
    /// Index of the orders in force, and when this replica applied them.
    std::uint64_t m_applied_index = 0;
    std::optional<time_point> m_applied_at;
    delivery_window m_window;
    bool m_has_deferred = false;
    bool m_had_deferred = false;
};

} // namespace limpet::control
