#include "config_store.hpp"

#include <limpet/base/log.hpp>

namespace limpet::pipeline
{

config_store::config_store(const router_settings& settings,
                           std::uint64_t random_seed,
                           std::shared_ptr<wire::link_hub> hub,
                           std::function<void()> on_change)
    : m_hub(std::move(hub)),
      m_on_change(std::move(on_change)),
      m_data_centre(settings.self.data_centre),
      m_node(settings.self.vm, {}, random_seed)
{
    for (const control_peer& peer : settings.control)
    {
        m_controls.push_back(peer.vm);
    }
    set_peers({});
}

config::view_ptr config_store::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void config_store::tick(time_point now)
{
    std::vector<config::outgoing_message> out;
    {
        const std::lock_guard lock(m_mutex);
        out = m_node.tick(now);
    }
    send_and_publish(out);
}

void config_store::receive(const vm_id& from,
                           std::string_view payload,
                           time_point now)
{
    const auto message = config::decode_distribution(payload);
    if (!is_ok(message))
    {
        log_event(
            log_level::warn,
            "frame.malformed",
            {{"peer", from.get()}, {"reason", error_of(message).message}});
        return;
    }
    std::vector<config::outgoing_message> out;
    {
        const std::lock_guard lock(m_mutex);
        out = m_node.receive(from, value_of(message), now);
    }
    send_and_publish(out);
}

void config_store::set_peers(std::vector<vm_id> peers)
{
    const std::lock_guard lock(m_mutex);
    m_node.set_topology({m_data_centre, std::move(peers), m_controls});
}

void config_store::send_and_publish(
    const std::vector<config::outgoing_message>& messages)
{
    for (const config::outgoing_message& item : messages)
    {
        // No error handling: the protocol repeats lost messages.
        m_hub->send(
            item.to, wire::channel::config, config::encode(item.content));
    }
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        const config::view_ptr latest = m_node.view();
        changed = latest != m_view;
        m_view = latest;
        m_node.take_adopted();
    }
    if (changed)
    {
        m_on_change();
        log_event(log_level::info,
                  "config.in_force",
                  {{"revision", get()->where().number.get()}});
    }
}

} // namespace limpet::pipeline
