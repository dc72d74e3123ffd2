/// \file
/// How much is on its way to subscribers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <map>

namespace limpet::control
{

/// Bounds the bytes of documents on their way, so that a replica's link
/// still carries heartbeats in time when all subscribers need one at once.
/// Takes the time as an argument; not thread-safe.
class delivery_window
{
public:
    /// Returns whether one more may be sent.
    bool has_room(time_point now)
    {
        std::size_t bytes = 0;
        std::erase_if(m_sent,
                      [now](const auto& each)
                      {
                          return each.second.at + hold_time <= now;
                      });
        for (const auto& [to, each] : m_sent)
        {
            bytes += each.bytes;
        }
        return bytes < max_bytes;
    }

    void note_sent(const vm_id& to, std::size_t bytes, time_point now)
    {
        m_sent[to] = {bytes, now};
    }

    /// Notes that what was sent has arrived or is lost.
    void release(const vm_id& to)
    {
        m_sent.erase(to);
    }

    /// A link of 6 Mbit/s takes 85 ms for them, well within the time after
    /// which a leader without answers gives up its lead.
    static constexpr std::size_t max_bytes = 64UL * 1024;

private:
    /// A subscriber that does not confirm keeps its part for this long, so
    /// that lost ones do not hold up the others. About twice the time in which
    /// a link of 6 Mbit/s passes on the bytes above.
    static constexpr duration hold_time = milliseconds(200);

    struct part
    {
        std::size_t bytes = 0;
        time_point at{};
    };

    std::map<vm_id, part> m_sent;
};

} // namespace limpet::control
