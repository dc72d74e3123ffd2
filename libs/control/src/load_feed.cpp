#include "load_feed.hpp"

#include <limpet/base/log.hpp>

namespace limpet::control
{

load_feed::load_feed(event_loop loop,
                     std::shared_ptr<wire::link_hub> hub,
                     content_meter& sent,
                     std::function<std::vector<vm_id>()> replicas)
    : m_loop(std::move(loop)),
      m_hub(std::move(hub)),
      m_sent(sent),
      m_replicas(std::move(replicas))
{
}

void load_feed::start()
{
    schedule();
}

void load_feed::stop()
{
    m_running.reset();
}

void load_feed::schedule()
{
    m_loop.call_after(directory::load_exchange_period,
                      [this, running = std::weak_ptr(m_running)]
                      {
                          if (running.lock())
                          {
                              send_loads();
                              schedule();
                          }
                      });
}

void load_feed::receive(const vm_id& from, const directory::update& frame)
{
    const time_point now = m_loop.now();
    if (frame.is_router)
    {
        m_exchange.record_router(from, *frame.loads, now);
    }
    else
    {
        m_exchange.record_replica(from, *frame.loads, now);
    }
}

void load_feed::on_lost(const vm_id& peer)
{
    m_exchange.on_lost(peer);
}

void load_feed::send_loads()
{
    std::vector<vm_id> others = m_replicas();
    std::erase(others, m_hub->self().vm);
    for (auto& [peer, loads] : m_exchange.take_updates(others, m_loop.now()))
    {
        send(peer, std::move(loads));
    }
}

void load_feed::send(const vm_id& to, directory::load_update loads)
{
    directory::update frame;
    frame.loads = std::move(loads);
    std::string payload = encode(frame, m_loop.now());
    m_sent.record(feed_content::loads, payload.size());
    const status sent =
        m_hub->send(to, wire::channel::directory, std::move(payload));
    if (!is_ok(sent))
    {
        log_event(log_level::warn,
                  "loads.send_failed",
                  {{"peer", to.get()}, {"reason", error_of(sent).message}});
        m_exchange.on_lost(to);
    }
}

} // namespace limpet::control
