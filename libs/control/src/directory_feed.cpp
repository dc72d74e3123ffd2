#include "directory_feed.hpp"

#include <limpet/base/log.hpp>

#include <algorithm>

namespace limpet::control
{

namespace
{

/// Time between two frames to a subscriber without news. Bounds how late a
/// lost frame is made up for.
constexpr duration tell_period = milliseconds(500);
/// A subscriber unheard of for this long is sent nothing more.
constexpr duration subscriber_timeout = seconds(3);
/// A replica unheard of for this long, three of its signs of life, brings no
/// documents to routers.
constexpr duration replica_timeout = milliseconds(1500);
/// Signs of life missed by a backend server before it counts as silent. They
/// may be late by seconds.
constexpr int missed_signs = 5;
/// Time for which a server that left or fell silent is remembered, so that
/// late news of it is recognised.
constexpr duration memory_of_gone = seconds(60);

} // namespace

directory_feed::directory_feed(boost::asio::io_context& context,
                               std::shared_ptr<wire::link_hub> hub,
                               duration sign_of_life_period,
                               feed_callbacks callbacks)
    : m_timer(context),
      m_hub(std::move(hub)),
      m_silence_limit(missed_signs * sign_of_life_period),
      m_callbacks(std::move(callbacks)),
      m_orders(m_hub->self().vm,
               {m_callbacks.orders,
                m_callbacks.is_sure,
                [this]
                {
                    return replicas_in_touch();
                }})
{
}

void directory_feed::start()
{
    schedule();
}

void directory_feed::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void directory_feed::schedule()
{
    m_timer.expires_after(tell_period);
    m_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled && !m_stopped)
            {
                tick();
                schedule();
            }
        });
}

void directory_feed::tick()
{
    const time_point now = monotonic_clock::now();
    m_callbacks.on_tick();
    m_table.mark_silent(now - m_silence_limit);
    m_table.forget_silent(now - memory_of_gone);
    send_signs_of_life();
    tell_all(true);
}

void directory_feed::add_contact(const vm_id& replica)
{
    const bool is_known =
        std::find(m_contacts.begin(), m_contacts.end(), replica) !=
        m_contacts.end();
    if (replica != m_hub->self().vm && !is_known)
    {
        m_contacts.push_back(replica);
    }
}

void directory_feed::send_signs_of_life()
{
    directory::update news;
    news.subscribes = true;
    news.replicas = m_callbacks.replicas();
    for (const engine_id& id : m_reported)
    {
        if (const auto* row = m_table.find(id))
        {
            news.registrations.push_back(*row);
        }
    }
    m_reported.clear();
    for (const vm_id& replica : m_contacts)
    {
        send(replica, news);
    }
}

void directory_feed::receive(const wire::link_identity& from,
                             std::string_view payload)
{
    const auto decoded =
        directory::decode_update(payload, monotonic_clock::now());
    if (!is_ok(decoded))
    {
        log_event(
            log_level::warn, "frame.malformed", {{"peer", from.vm.get()}});
        return;
    }
    const directory::update& news = value_of(decoded);
    if (!news.is_router)
    {
        m_replicas_heard[from.vm] = monotonic_clock::now();
        take_rows(news);
        add_contact(from.vm);
        for (const vm_id& each : news.replicas)
        {
            add_contact(each);
        }
        std::vector<vm_id> contacts = news.replicas;
        contacts.push_back(from.vm);
        m_callbacks.on_contacts(std::move(contacts));
    }
    if (news.subscribes)
    {
        note_subscriber(from, news);
    }
}

void directory_feed::take_rows(const directory::update& news)
{
    bool is_change = false;
    for (const directory::registration& each : news.registrations)
    {
        is_change |= m_table.merge(each) == directory::merge_result::changed;
    }
    if (is_change)
    {
        tell_all(false);
    }
}

void directory_feed::note_subscriber(const wire::link_identity& from,
                                     const directory::update& news)
{
    subscriber& known = m_subscribers[from.vm];
    const time_point now = monotonic_clock::now();
    const bool is_new =
        known.start != from.start || known.heard_at == time_point{};
    if (is_new)
    {
        log_event(log_level::info,
                  "subscriber.found",
                  {{"peer", from.vm.get()}, {"router", news.is_router}});
        known.sent_change = 0;
    }
    known.start = from.start;
    known.is_router = news.is_router;
    known.heard_at = now;
    const bool has_arrived =
        news.is_router && m_orders.note(from.vm, news, is_new);
    tell(from.vm, known, is_new);
    if (has_arrived)
    {
        // Others may wait for the room on the link.
        tell_all(false);
    }
}

void directory_feed::on_lost(const vm_id& peer)
{
    const auto known = m_subscribers.find(peer);
    if (known != m_subscribers.end())
    {
        known->second.sent_change = 0;
    }
    m_orders.on_lost(peer);
}

void directory_feed::tell(const vm_id& peer, subscriber& to, bool is_forced)
{
    directory::update news;
    if (to.is_router)
    {
        m_orders.add_to(news, peer, monotonic_clock::now());
    }
    news.is_complete = to.sent_change == 0;
    to.sent_change =
        m_table.changes_after(to.sent_change,
                              [&news](const directory::registration& row)
                              {
                                  news.registrations.push_back(row);
                              });
    if (is_forced || news.orders || !news.registrations.empty())
    {
        news.replicas = m_callbacks.replicas();
        news.routers = routers();
        send(peer, news);
    }
}

std::vector<vm_id> directory_feed::replicas_in_touch() const
{
    const time_point since = monotonic_clock::now() - replica_timeout;
    std::vector<vm_id> result = {m_hub->self().vm};
    for (const auto& [vm, heard_at] : m_replicas_heard)
    {
        if (heard_at >= since)
        {
            result.push_back(vm);
        }
    }
    return result;
}

void directory_feed::tell_all(bool is_forced)
{
    const time_point now = monotonic_clock::now();
    std::erase_if(m_subscribers,
                  [this, now](const auto& each)
                  {
                      const bool is_lost =
                          each.second.heard_at + subscriber_timeout < now;
                      if (is_lost)
                      {
                          m_orders.forget(each.first);
                      }
                      return is_lost;
                  });
    for (auto& [peer, each] : m_subscribers)
    {
        // Replicas are sent signs of life in place of idle frames.
        tell(peer, each, is_forced && each.is_router);
    }
}

void directory_feed::orders_changed()
{
    m_orders.orders_changed();
    tell_all(false);
}

directory::merge_result
directory_feed::take(const directory::registration& news)
{
    const directory::merge_result result = m_table.merge(news);
    if (result != directory::merge_result::stale)
    {
        m_reported.push_back(news.id);
    }
    if (result == directory::merge_result::changed)
    {
        tell_all(false);
    }
    return result;
}

directory::merge_result directory_feed::leave(const engine_id& id)
{
    const auto result = m_table.leave(id, monotonic_clock::now());
    if (result == directory::merge_result::changed)
    {
        tell_all(false);
    }
    return result;
}

std::uint32_t directory_feed::routers() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_subscribers.begin(),
                      m_subscribers.end(),
                      [](const auto& each)
                      {
                          return each.second.is_router;
                      }));
}

void directory_feed::send(const vm_id& peer, const directory::update& news)
{
    const status sent = m_hub->send(
        peer, wire::channel::directory, encode(news, monotonic_clock::now()));
    if (!is_ok(sent))
    {
        log_event(log_level::warn,
                  "feed.send_failed",
                  {{"peer", peer.get()}, {"reason", error_of(sent).message}});
        on_lost(peer);
    }
}

} // namespace limpet::control
