#include "order_feed.hpp"

#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>

#include <utility>

namespace limpet::control
{

namespace
{

/// Time after which the leader sends a document itself if the replica assigned
/// to the router has not delivered it. Longer than a delivery and the interval
/// of the router's reports to the leader; short compared to the time in which
/// an order must be in force at all routers.
constexpr duration relay_timeout = milliseconds(900);
/// Routers to which one router passes a document on. Bounds what it sends for
/// the others, and how many get the document late if it fails.
constexpr std::size_t max_forward_targets = 8;
/// Time after its last report for which a router is expected to pass orders on.
/// Longer than the interval of the reports.
constexpr duration forwarder_silence = milliseconds(800);

} // namespace

order_feed::order_feed(vm_id self, order_source source)
    : m_self(std::move(self)),
      m_source(std::move(source))
{
}

void order_feed::orders_changed(time_point now)
{
    const directory::intent& orders = m_source.orders();
    if (orders.index != m_applied_index)
    {
        m_applied_index = orders.index;
        m_applied_at = now;
        log_event(log_level::info,
                  "orders.applied",
                  {{"index", orders.index},
                   {"version", orders.version.get()},
                   {"routers", m_routers.size()}});
    }
    m_documents.add(orders);
}

bool order_feed::record_state(const router_report& from,
                              const directory::update& frame,
                              bool is_new)
{
    router_state& known = m_routers[from.vm];
    if (is_new)
    {
        known = {};
    }
    known.data_centre = from.data_centre;
    known.heard_at = from.at;
    known.forwards = frame.forwards;
    const bool has_arrived = frame.document_index > known.delivery.document();
    known.delivery.acknowledge(frame.intent_index, frame.document_index);
    if (has_arrived)
    {
        m_window.release(from.vm);
    }
    return has_arrived;
}

bool order_feed::needs_orders(const order_delivery& to, time_point now) const
{
    const std::uint64_t newest = m_source.orders().index;
    const bool needs_confirmation = m_source.has_lease() &&
                                    to.in_force() < newest &&
                                    !to.is_confirmation_in_flight(now);
    return !to.is_document_in_flight(now) &&
           (to.document() < newest || needs_confirmation);
}

void order_feed::add_orders(directory::update& frame,
                            const vm_id& router,
                            time_point now)
{
    order_delivery& to = m_routers[router].delivery;
    if (!needs_orders(to, now))
    {
        return;
    }
    const directory::intent& orders = m_source.orders();
    m_documents.add(orders);
    document_payload payload = make_payload(to);
    if (!should_send(to, router, payload, now))
    {
        return;
    }
    if (!m_window.has_capacity(now) ||
        (payload.bytes > 0 && !m_source.has_capacity()))
    {
        m_has_deferred = true;
        return;
    }
    m_window.note_sent(router, payload.bytes, now);
    frame.intent_index = orders.index;
    frame.orders = orders;
    frame.is_sure = m_source.has_lease();
    frame.held = now - m_applied_at.value_or(now);
    to.note_sent(orders.index, frame.is_sure, now);
    frame.forward_to = take_forward_targets(router, payload, now);
    frame.change = std::move(payload.change);
    if (frame.change)
    {
        frame.orders->document = nullptr;
    }
}

std::vector<vm_id> order_feed::take_forward_targets(
    const vm_id& forwarder, const document_payload& payload, time_point now)
{
    std::vector<vm_id> targets;
    const router_state& from = m_routers.at(forwarder);
    if (!from.forwards || is_small(payload) ||
        from.heard_at + forwarder_silence < now)
    {
        return targets;
    }
    for (auto& [vm, each] : m_routers)
    {
        if (targets.size() < max_forward_targets && vm != forwarder &&
            needs_same_document(each, from, now) &&
            should_send(each.delivery, vm, payload, now))
        {
            each.delivery.note_forwarded(m_source.orders().index, now);
            targets.push_back(vm);
        }
    }
    return targets;
}

bool order_feed::needs_same_document(const router_state& router,
                                     const router_state& forwarder,
                                     time_point now) const
{
    const order_delivery& to = router.delivery;
    return router.forwards && router.data_centre == forwarder.data_centre &&
           to.document() == forwarder.delivery.document() &&
           to.document() < m_source.orders().index &&
           !to.is_document_in_flight(now) && !to.awaits_forwarded();
}

order_feed::document_payload order_feed::make_payload(const order_delivery& to)
{
    document_payload result;
    result.change = m_documents.change_since(to.document());
    const auto& document = m_source.orders().document;
    if (result.change)
    {
        result.bytes = result.change->delta.size();
    }
    else if (document)
    {
        result.bytes = document->packed().bytes().size();
    }
    return result;
}

bool order_feed::is_relay_of(const vm_id& router) const
{
    const std::uint64_t place = stable_hash(router.get());
    vm_id chosen = m_self;
    std::uint64_t best = 0;
    for (const vm_id& each : m_source.replicas())
    {
        const std::uint64_t score =
            combine_hashes(place, stable_hash(each.get()));
        if (score > best)
        {
            best = score;
            chosen = each;
        }
    }
    return chosen == m_self;
}

bool order_feed::is_small(const document_payload& payload) const
{
    return payload.bytes * m_routers.size() <= delivery_window::max_bytes;
}

bool order_feed::should_send(order_delivery& to,
                             const vm_id& router,
                             const document_payload& payload,
                             time_point now) const
{
    const bool has_lease = m_source.has_lease();
    if (is_small(payload) && has_lease)
    {
        return true;
    }
    // A router without a document needs one also while there is no leader.
    if ((!is_small(payload) || to.document() == 0) && is_relay_of(router))
    {
        return true;
    }
    if (is_small(payload))
    {
        return false;
    }
    const time_point since = to.outdated_since(now);
    return has_lease && now >= since + relay_timeout;
}

void order_feed::on_lost(const vm_id& router)
{
    const auto known = m_routers.find(router);
    if (known != m_routers.end())
    {
        known->second.delivery.forget_sent();
        m_window.release(router);
    }
}

void order_feed::forget(const vm_id& router)
{
    m_routers.erase(router);
    m_window.release(router);
}

} // namespace limpet::control
