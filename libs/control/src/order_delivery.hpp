/// \file
/// Delivery state of the operators' orders at one subscriber.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>
#include <optional>

namespace limpet::control
{

/// How orders reach a subscriber.
enum class delivery_path : std::uint8_t
{
    direct,   ///< Over the link to the subscriber.
    forwarded ///< By way of another router, which may fail.
};

/// Allows at most one state of the orders in flight to a subscriber, so that a
/// slow link is not filled with states that newer ones have superseded. Takes
/// the time as an argument; not thread-safe.
class order_delivery
{
public:
    /// Records the index of the orders that the subscriber reported to have in
    /// force, and the index of the orders whose document it reported to hold.
    void acknowledge(std::uint64_t in_force, std::uint64_t document)
    {
        m_in_force = in_force;
        if (document != m_document)
        {
            m_outdated_since.reset();
            if (document < m_sent)
            {
                // The subscriber got another document or lost its own since, so
                // that it cannot apply the change that was sent.
                forget_sent();
            }
        }
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

    /// Returns whether a document was sent that may still arrive.
    bool is_document_in_flight(time_point now) const
    {
        return m_sent > m_document && now < m_sent_at + timeout();
    }

    /// Returns whether the newest orders that were sent took the way over
    /// another router and have not arrived. The next ones must go directly.
    bool awaits_forwarded() const
    {
        return m_path == delivery_path::forwarded && m_sent > m_document;
    }

    /// Returns whether a confirmation that the orders are the newest was sent
    /// that may still arrive.
    bool is_confirmation_in_flight(time_point now) const
    {
        return m_confirmed > m_in_force && now < m_sent_at + timeout();
    }

    /// Returns the time at which this object was first asked since a document
    /// last arrived. That a newer one supersedes the missing one does not start
    /// the time again: the subscriber gets neither.
    time_point outdated_since(time_point now)
    {
        if (!m_outdated_since)
        {
            m_outdated_since = now;
        }
        return *m_outdated_since;
    }

    /// Records that the orders of the index were sent; is_confirmation if the
    /// frame confirms that they are the newest.
    void note_sent(std::uint64_t index, bool is_confirmation, time_point now)
    {
        m_path = delivery_path::direct;
        m_sent = index;
        m_confirmed = is_confirmation ? index : m_confirmed;
        m_sent_at = now;
    }

    /// Records that another router passes the orders of the index on.
    void note_forwarded(std::uint64_t index, time_point now)
    {
        m_path = delivery_path::forwarded;
        m_sent = index;
        m_sent_at = now;
    }

    /// Marks nothing as in flight, for example after the link was lost.
    void forget_sent()
    {
        m_sent = 0;
        m_confirmed = 0;
    }

private:
    /// Time after which unacknowledged orders are sent again. The loss of a
    /// link is reported separately, so this applies only if the subscriber
    /// dropped a frame. Longer than the transmission of the fleet's orders over
    /// a busy link, since duplicates would fill the link otherwise.
    static constexpr duration ack_timeout = seconds(3);

    /// The same for orders that another router passes on: longer than over two
    /// links and until the subscriber's report, and short compared to the time
    /// in which orders must be in force.
    static constexpr duration forward_timeout = milliseconds(600);

    duration timeout() const
    {
        return m_path == delivery_path::direct ? ack_timeout : forward_timeout;
    }

    std::uint64_t m_in_force = 0;
    std::uint64_t m_document = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_confirmed = 0;
    delivery_path m_path = delivery_path::direct;
    time_point m_sent_at{};
    std::optional<time_point> m_outdated_since;
};

} // namespace limpet::control
