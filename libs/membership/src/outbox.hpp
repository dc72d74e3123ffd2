/// \file
/// Queue of the actions that a node returns to its caller.

#pragma once

#include "region_state.hpp"

#include <limpet/membership/action.hpp>

namespace limpet::membership
{

/// Collects the actions of one call to the node.
class outbox
{
public:
    explicit outbox(region_state& state)
        : m_state(state)
    {
    }

    /// Queues a message with the given piggybacked changes. Drops it if a later
    /// incarnation has superseded this process.
    void send(const peer& to, traffic kind, body content, updates changes = {})
    {
        if (m_state.superseded_by())
        {
            return;
        }
        message output;
        output.from = m_state.self_key();
        output.started = m_state.self().started;
        output.clock = m_state.clock();
        output.content = std::move(content);
        output.changes = std::move(changes);
        m_actions.emplace_back(
            send_message{to.vm, to.address, kind, encode(output)});
    }

    /// Queues an action other than a message.
    template <class Other>
    void add(Other other)
    {
        m_actions.emplace_back(std::move(other));
    }

    /// Returns the queued actions and clears the queue.
    actions take()
    {
        return std::exchange(m_actions, {});
    }

private:
    region_state& m_state;
    actions m_actions;
};

} // namespace limpet::membership
