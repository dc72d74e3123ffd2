/// \file
/// Limits the bytes of documents in flight to subscribers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <map>

namespace limpet::control
{

/// Limits the bytes of documents in flight, so that a replica's link still
/// delivers heartbeats in time when all subscribers need a document at once.
/// Takes the time as an argument; not thread-safe.
class delivery_window
{
public:
    /// Returns whether another document may be sent. Drops entries older than
    /// in_flight_timeout first.
    bool has_capacity(time_point now)
    {
        std::size_t bytes = 0;
        std::erase_if(m_in_flight,
                      [now](const auto& each)
                      {
                          return each.second.at + in_flight_timeout <= now;
                      });
        for (const auto& [to, each] : m_in_flight)
        {
            bytes += each.bytes;
        }
        return bytes < max_bytes;
    }

    /// Records that a document was sent to the subscriber.
    void note_sent(const vm_id& to, std::size_t bytes, time_point now)
    {
        m_in_flight[to] = {bytes, now};
    }

    /// Releases the bytes in flight to the subscriber after the document
    /// arrived or was lost.
    void release(const vm_id& to)
    {
        m_in_flight.erase(to);
    }

    /// A link of 6 Mbit/s transmits this in 85 ms, well below the time after
    /// which a leader that receives no answers steps down.
    static constexpr std::size_t max_bytes = 64UL * 1024;

private:
    /// Time after which bytes that a subscriber did not acknowledge stop
    /// counting as in flight, so that unreachable subscribers do not block the
    /// other ones. About twice the time in which a link of 6 Mbit/s transmits
    /// max_bytes.
    static constexpr duration in_flight_timeout = milliseconds(200);

    struct in_flight_document
    {
        std::size_t bytes = 0;
        time_point at{};
    };

    std::map<vm_id, in_flight_document> m_in_flight;
};

} // namespace limpet::control
