/// \file
/// Tells routers of the operators' orders.

#pragma once

#include "delivery_window.hpp"
#include "document_history.hpp"
#include "order_delivery.hpp"

#include <limpet/directory/update.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace limpet::control
{

/// What the feed asks of the replica around it.
struct order_source
{
    /// Returns the orders as this replica knows them. All are committed.
    std::function<const directory::intent&()> orders;
    /// Returns whether this replica is sure that they are the newest ones.
    std::function<bool()> is_sure;
    /// Returns the replicas that were heard of lately, this one included.
    std::function<std::vector<vm_id>()> replicas;
};

/// Decides what a router is sent of the orders, and when.
///
/// Only a leader that is sure of its lead puts a first state in force at a
/// router; what is committed may follow from any replica, since it never goes
/// back. News that would fill the leader's link are therefore shared out: each
/// router has one replica that brings it documents, and the leader only
/// confirms them, or brings them itself if they do not come in time.
///
/// Takes the time as an argument; not thread-safe.
class order_feed
{
public:
    order_feed(vm_id self, order_source source);

    /// Takes note of orders that were just put in force.
    void orders_changed();

    /// Notes what a router says it holds; is_new if it is another start of it
    /// or was not known. Returns whether a document has arrived there.
    bool note(const vm_id& router, const directory::update& frame, bool is_new);

    /// Adds to the frame what the router is to be sent now.
    void add_to(directory::update& frame, const vm_id& router, time_point now);

    /// Notes that what is on its way to the router is lost.
    void on_lost(const vm_id& router);

    void forget(const vm_id& router);

private:
    /// What a router lacks: a change, or else the whole document.
    struct parcel
    {
        std::optional<directory::document_change> change;
        std::size_t bytes = 0;
    };

    parcel make_parcel(const order_delivery& to);
    bool is_relay_of(const vm_id& router) const;
    bool is_mine(order_delivery& to,
                 const vm_id& router,
                 const parcel& what,
                 time_point now) const;

    vm_id m_self;
    order_source m_source;
    std::map<vm_id, order_delivery> m_routers;
    document_history m_documents;
    delivery_window m_window;
};

} // namespace limpet::control
