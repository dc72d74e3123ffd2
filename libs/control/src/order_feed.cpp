#include "order_feed.hpp"

#include <limpet/base/hash.hpp>

#include <utility>

namespace limpet::control
{

namespace
{

/// Time that a router's replica has to bring it a document before the leader
/// does. Enough for a document on a free link; short against the time in which
/// an order must be in force everywhere.
constexpr duration relay_time = milliseconds(400);

} // namespace

order_feed::order_feed(vm_id self, order_source source)
    : m_self(std::move(self)),
      m_source(std::move(source))
{
}

void order_feed::orders_changed()
{
    m_documents.add(m_source.orders());
}

bool order_feed::note(const vm_id& router,
                      const directory::update& frame,
                      bool is_new)
{
    order_delivery& known = m_routers[router];
    if (is_new)
    {
        known = {};
    }
    const bool has_arrived = frame.document_index > known.document();
    known.confirm(frame.intent_index, frame.document_index);
    if (has_arrived)
    {
        m_window.release(router);
    }
    return has_arrived;
}

void order_feed::add_to(directory::update& frame,
                        const vm_id& router,
                        time_point now)
{
    order_delivery& to = m_routers[router];
    const directory::intent& orders = m_source.orders();
    const bool is_sure = m_source.is_sure();
    const bool lacks_proof =
        is_sure && to.in_force() < orders.index && !to.is_proof_under_way(now);
    if (to.is_document_under_way(now) ||
        (to.document() >= orders.index && !lacks_proof))
    {
        return;
    }
    m_documents.add(orders);
    parcel what = make_parcel(to);
    if (!is_mine(to, router, what, now) || !m_window.has_room(now))
    {
        return;
    }
    m_window.note_sent(router, what.bytes, now);
    frame.intent_index = orders.index;
    frame.orders = orders;
    frame.is_sure = is_sure;
    frame.change = std::move(what.change);
    if (frame.change)
    {
        frame.orders->document = nullptr;
    }
    to.note_sent(orders.index, is_sure, now);
}

order_feed::parcel order_feed::make_parcel(const order_delivery& to)
{
    parcel result;
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

bool order_feed::is_mine(order_delivery& to,
                         const vm_id& router,
                         const parcel& what,
                         time_point now) const
{
    const bool is_sure = m_source.is_sure();
    if (what.bytes * m_routers.size() <= delivery_window::max_bytes)
    {
        return is_sure;
    }
    if (is_relay_of(router))
    {
        return true;
    }
    const time_point since = to.lacks_since(m_source.orders().index, now);
    return is_sure && now >= since + relay_time;
}

void order_feed::on_lost(const vm_id& router)
{
    const auto known = m_routers.find(router);
    if (known != m_routers.end())
    {
        known->second.forget_sent();
        m_window.release(router);
    }
}

void order_feed::forget(const vm_id& router)
{
    m_routers.erase(router);
    m_window.release(router);
}

} // namespace limpet::control
