/// \file
/// Requests that wait for a backend server to have room.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace limpet::gateway
{

/// Wakes waiting requests of a service one at a time, the most urgent first
/// and then in the order of their arrival. Runs on one thread.
class room_queue
{
public:
    /// Waits until room may be free or the time is up.
    boost::asio::awaitable<void>
    wait(std::string service, unsigned rank, duration longest);

    /// Wakes the first request of the service.
    void wake(const std::string& service);

    /// Wakes all requests, as when the servers or the plan changed.
    void wake_all();

    std::size_t size() const noexcept
    {
        return m_waiting.size();
    }

    /// Number of requests of the service that wait.
    std::size_t size(const std::string& service) const;

private:
    struct place
    {
        std::string service;
        unsigned rank = 0;
        std::uint64_t number = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on the operator.
        friend auto operator<=>(const place&, const place&) = default;
    };

    std::map<place, boost::asio::steady_timer*> m_waiting;
    std::uint64_t m_next = 0;
};

} // namespace limpet::gateway
