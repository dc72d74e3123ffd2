/// \file
/// Messages that a node is about to send.

#pragma once

#include "region_state.hpp"

#include <limpet/membership/action.hpp>

namespace limpet::membership
{

/// Collects the actions of one call of the node.
class outbox
{
public:
    explicit outbox(region_state& state)
        : m_state(state)
    {
    }

    /// Queues a message, with changes to pass on if there are any. A replaced
    /// process sends nothing.
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

    /// Queues another action.
    template <class Other>
    void add(Other other)
    {
        m_actions.emplace_back(std::move(other));
    }

    /// Returns the actions so far and begins anew.
    actions take()
    {
        return std::exchange(m_actions, {});
    }

private:
    region_state& m_state;
    actions m_actions;
};

} // namespace limpet::membership
