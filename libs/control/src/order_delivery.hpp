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
    /// Notes the index that the subscriber says it holds.
    void confirm(std::uint64_t held)
    {
        m_held = held;
    }

    /// Returns the index that the subscriber said it holds.
    std::uint64_t held() const noexcept
    {
        return m_held;
    }

    /// Returns whether to send the state of the index now.
    bool is_due(std::uint64_t newest, time_point now) const
    {
        const bool is_under_way =
            m_sent > m_held && now < m_sent_at + confirm_timeout;
        return newest > m_held && !is_under_way;
    }

    void note_sent(std::uint64_t index, time_point now)
    {
        m_sent = index;
        m_sent_at = now;
    }

    /// Forgets what is on its way, as when the link was lost.
    void forget_sent()
    {
        m_sent = 0;
    }

private:
    /// A link that is lost is reported, so only a subscriber that dropped a
    /// frame is waited for this long. Longer than the fleet's orders take over
    /// a busy link, or they would fill it.
    static constexpr duration confirm_timeout = seconds(3);

    std::uint64_t m_held = 0;
    std::uint64_t m_sent = 0;
    time_point m_sent_at{};
};

} // namespace limpet::control
