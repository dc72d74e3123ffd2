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
    const time_point now = monotonic_clock::now();
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
    for (auto& [peer, loads] :
         m_exchange.take_updates(others, monotonic_clock::now()))
    {
        send(peer, std::move(loads));
    }
}

void load_feed::send(const vm_id& to, directory::load_update loads)
{
    directory::update frame;
    frame.loads = std::move(loads);
    const status sent = m_hub->send(
        to, wire::channel::directory, encode(frame, monotonic_clock::now()));
    if (!is_ok(sent))
    {
        log_event(log_level::warn,
                  "loads.send_failed",
                  {{"peer", to.get()}, {"reason", error_of(sent).message}});
        m_exchange.on_lost(to);
    }
}

} // namespace limpet::control
