#include "membership_service.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>

namespace limpet::pipeline
{

namespace
{

/// Executes one action of the membership node.
struct action_runner
{
    wire::link_hub& hub;
    const membership_service::handlers& callbacks;

    void operator()(membership::send_message& message) const
    {
        const auto address = http::parse_endpoint(message.address);
        if (!is_ok(address))
        {
            return;
        }
        hub.set_peer(message.to, value_of(address));
        // No error handling: the protocol repeats lost messages.
        hub.send(
            message.to, wire::channel::membership, std::move(message.bytes));
    }

    void operator()(const membership::ownership_changed& change) const
    {
        log_event(log_level::info,
                  "ownership.changed",
                  {{"engine", change.engine.get()},
                   {"before", to_string(change.before)},
                   {"after", to_string(change.after)}});
        callbacks.on_ownership(change);
    }

    void operator()(const membership::superseded& newer) const
    {
        log_event(log_level::error,
                  "router.superseded",
                  {{"incarnation", newer.by.get()}});
        callbacks.on_superseded();
    }
};

} // namespace

membership_service::membership_service(const router_settings& settings,
                                       incarnation started,
                                       std::uint64_t random_seed,
                                       time_point now)
    : m_node(settings.membership,
             settings.self,
             started,
             settings.seeds,
             random_seed,
             now),
      m_view(m_node.snapshot())
{
}

void membership_service::connect(std::shared_ptr<wire::link_hub> hub,
                                 handlers callbacks)
{
    m_hub = std::move(hub);
    m_handlers = std::move(callbacks);
}

void membership_service::tick(time_point now)
{
    membership::actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_node.tick(now);
    }
    execute_actions(std::move(actions));
}

void membership_service::receive(std::string_view payload, time_point now)
{
    membership::actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_node.receive(payload, now);
    }
    execute_actions(std::move(actions));
}

outcome<membership::announce_result>
membership_service::announce(const membership::announcement& server,
                             time_point now)
{
    membership::actions actions;
    outcome<membership::announce_result> result;
    {
        const std::lock_guard lock(m_mutex);
        result = m_node.announce(server, now);
        actions = m_node.tick(now);
    }
    execute_actions(std::move(actions));
    return result;
}

void membership_service::leave(time_point now)
{
    membership::actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_node.leave(now);
    }
    execute_actions(std::move(actions));
}

void membership_service::set_load(const engine_id& engine,
                                  const membership::engine_load& load)
{
    const std::lock_guard lock(m_mutex);
    m_node.set_load(engine, load);
}

membership::ownership membership_service::ownership_of(const engine_id& engine,
                                                       time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return m_node.ownership_of(engine, now);
}

std::optional<membership::load_digest>
membership_service::load_of(const model_id& model, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return m_node.load_of(model, now);
}

bool membership_service::joined() const
{
    const std::lock_guard lock(m_mutex);
    return m_node.joined();
}

membership_service::view_ptr membership_service::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void membership_service::execute_actions(membership::actions&& actions)
{
    const action_runner runner{*m_hub, m_handlers};
    for (membership::action& item : actions)
    {
        std::visit(runner, item);
    }
    publish();
}

void membership_service::publish()
{
    view_ptr changed;
    {
        const std::lock_guard lock(m_mutex);
        view_ptr latest = m_node.snapshot();
        if (latest->version() != m_view->version())
        {
            m_view = latest;
            changed = std::move(latest);
        }
    }
    if (changed)
    {
        m_handlers.on_view(changed);
    }
}

} // namespace limpet::pipeline
