/// \file
/// Which of the operators' orders a subscriber was sent and holds.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::control
{

/// Keeps one state of the orders at most on its way to a subscriber, so that
/// a slow link is not filled with states that newer ones have overtaken. Takes
/// the time as an argument; not thread-safe.
class order_delivery
{
public:
    /// Notes the indexes of the orders that the subscriber says it has in
    /// force and whose document it keeps.
    void confirm(std::uint64_t in_force, std::uint64_t document)
    {
        m_in_force = in_force;
        m_document = document;
    }

    std::uint64_t in_force() const noexcept
    {
        return m_in_force;
    }

    std::uint64_t document() const noexcept
    {
        return m_document;
    }

    /// Returns whether a document that was sent may still arrive.
    bool is_document_under_way(time_point now) const
    {
        return m_sent > m_document && now < m_sent_at + confirm_timeout;
    }

    /// Returns whether word that the orders are the newest may still arrive.
    bool is_proof_under_way(time_point now) const
    {
        return m_proven > m_in_force && now < m_sent_at + confirm_timeout;
    }

    /// Returns since when the subscriber is known to lack the orders of the
    /// index.
    time_point lacks_since(std::uint64_t index, time_point now)
    {
        if (m_lacking != index)
        {
            m_lacking = index;
            m_lacks_since = now;
        }
        return m_lacks_since;
    }

    void note_sent(std::uint64_t index, bool is_proof, time_point now)
    {
        m_sent = index;
        m_proven = is_proof ? index : m_proven;
        m_sent_at = now;
    }

    /// Forgets what is on its way, as when the link was lost.
    void forget_sent()
    {
        m_sent = 0;
        m_proven = 0;
    }

private:
    /// A link that is lost is reported, so only a subscriber that dropped a
    /// frame is waited for this long. Longer than the fleet's orders take over
    /// a busy link, or they would fill it.
    static constexpr duration confirm_timeout = seconds(3);

    std::uint64_t m_in_force = 0;
    std::uint64_t m_document = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_proven = 0;
    time_point m_sent_at{};
    std::uint64_t m_lacking = 0;
    time_point m_lacks_since{};
};

} // namespace limpet::control
