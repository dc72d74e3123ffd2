#include "fleet.hpp"

#include <limpet/base/log.hpp>
#include <limpet/http/endpoint.hpp>

namespace limpet::pipeline
{

namespace
{

/// Carries out one action of the membership node.
struct action_runner
{
    wire::link_hub& hub;
    const fleet::handlers& callbacks;

    void operator()(membership::send_message& message) const
    {
        const auto address = http::parse_endpoint(message.address);
        if (!is_ok(address))
        {
            return;
        }
        hub.set_peer(message.to, value_of(address));
        // A lost message is repeated by the protocol itself.
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

fleet::fleet(const router_settings& settings,
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

void fleet::connect(std::shared_ptr<wire::link_hub> hub, handlers callbacks)
{
    m_hub = std::move(hub);
    m_handlers = std::move(callbacks);
}

void fleet::tick(time_point now)
{
    membership::actions todo;
    {
        const std::lock_guard lock(m_mutex);
        todo = m_node.tick(now);
    }
    carry_out(std::move(todo));
}

void fleet::receive(std::string_view payload, time_point now)
{
    membership::actions todo;
    {
        const std::lock_guard lock(m_mutex);
        todo = m_node.receive(payload, now);
    }
    carry_out(std::move(todo));
}

outcome<membership::announce_result>
fleet::announce(const membership::announcement& server, time_point now)
{
    membership::actions todo;
    outcome<membership::announce_result> result;
    {
        const std::lock_guard lock(m_mutex);
        result = m_node.announce(server, now);
        todo = m_node.tick(now);
    }
    carry_out(std::move(todo));
    return result;
}

void fleet::leave(time_point now)
{
    membership::actions todo;
    {
        const std::lock_guard lock(m_mutex);
        todo = m_node.leave(now);
    }
    carry_out(std::move(todo));
}

void fleet::set_load(const engine_id& engine,
                     const membership::engine_load& load)
{
    const std::lock_guard lock(m_mutex);
    m_node.set_load(engine, load);
}

membership::ownership fleet::ownership_of(const engine_id& engine,
                                          time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return m_node.ownership_of(engine, now);
}

std::optional<membership::load_digest> fleet::load_of(const model_id& model,
                                                      time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return m_node.load_of(model, now);
}

bool fleet::joined() const
{
    const std::lock_guard lock(m_mutex);
    return m_node.joined();
}

fleet::view_ptr fleet::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void fleet::carry_out(membership::actions&& todo)
{
    const action_runner runner{*m_hub, m_handlers};
    for (membership::action& item : todo)
    {
        std::visit(runner, item);
    }
    publish();
}

void fleet::publish()
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
