#include "config_source.hpp"

#include <limpet/base/log.hpp>

namespace limpet::control
{

config_source::config_source(const control_state& state,
                             std::shared_ptr<wire::link_hub> hub)
    : m_state(state),
      m_hub(std::move(hub)),
      m_publisher(config::distribution_settings{}),
      m_force(config::distribution_settings{}.report_timeout)
{
}

void config_source::receive(const vm_id& from,
                            std::string_view payload,
                            time_point now)
{
    const auto message = config::decode_distribution(payload);
    if (!is_ok(message))
    {
        log_event(log_level::warn, "frame.malformed", {{"peer", from.get()}});
        return;
    }
    std::vector<config::outgoing_message> out;
    if (const auto* sync =
            std::get_if<config::sync_message>(&value_of(message)))
    {
        if (sync->report)
        {
            m_force.receive(from, *sync->report, now);
        }
        m_publisher.receive(from, *sync, served(), now, out);
    }
    else if (const auto* part =
                 std::get_if<config::part_request>(&value_of(message)))
    {
        m_publisher.receive(from, *part, served(), now, out);
    }
    send(out);
}

void config_source::publish(time_point now)
{
    std::vector<config::outgoing_message> out;
    m_publisher.publish(served(), now, out);
    send(out);
}

config::force_summary config_source::force(time_point now) const
{
    return m_force.summary(now);
}

const std::optional<config::position>& config_source::highest_heard() const
{
    return m_publisher.highest_heard();
}

config::served_config config_source::served() const
{
    return {m_state.config().view(), m_state.config().history()};
}

void config_source::send(const std::vector<config::outgoing_message>& messages)
{
    for (const config::outgoing_message& item : messages)
    {
        // The result is ignored: the distribution protocol resends lost
        // messages.
        m_hub->send(
            item.to, wire::channel::config, config::encode(item.content));
    }
}

} // namespace limpet::control
