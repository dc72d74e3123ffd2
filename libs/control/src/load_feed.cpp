#include "load_feed.hpp"

#include <limpet/base/log.hpp>

namespace limpet::control
{

load_feed::load_feed(boost::asio::io_context& context,
                     std::shared_ptr<wire::link_hub> hub,
                     std::function<std::vector<vm_id>()> replicas)
    : m_timer(context),
      m_hub(std::move(hub)),
      m_replicas(std::move(replicas))
{
}

void load_feed::start()
{
    schedule();
}

void load_feed::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void load_feed::schedule()
{
    m_timer.expires_after(directory::load_exchange_period);
    m_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled && !m_stopped)
            {
                send_loads();
                schedule();
            }
        });
}

void load_feed::receive(const vm_id& from, const directory::update& frame)
{
    if (frame.is_router)
    {
        m_exchange.record_from_router(
            from, frame.loads, monotonic_clock::now());
    }
    else
    {
        m_exchange.record_from_replica(frame.loads);
    }
}

void load_feed::send_loads()
{
    const time_point now = monotonic_clock::now();
    m_exchange.evict_expired(now);
    const auto own = m_exchange.take_for_replicas(now);
    for (const vm_id& replica : m_replicas())
    {
        if (replica != m_hub->self().vm)
        {
            send(replica, own);
        }
    }
    for (const vm_id& router : m_exchange.routers(now))
    {
        send(router, m_exchange.take_for_router(router, now));
    }
}

void load_feed::send(const vm_id& to, std::vector<directory::load_report> loads)
{
    if (loads.empty())
    {
        return;
    }
    directory::update frame;
    frame.exchanges_loads = true;
    frame.loads = std::move(loads);
    const status sent = m_hub->send(
        to, wire::channel::directory, encode(frame, monotonic_clock::now()));
    if (!is_ok(sent))
    {
        log_event(log_level::warn,
                  "loads.send_failed",
                  {{"peer", to.get()}, {"reason", error_of(sent).message}});
    }
}

} // namespace limpet::control
