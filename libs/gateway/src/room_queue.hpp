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

/// What decides the place of a waiting request.
struct waiting_request
{
    std::string service;
    /// 0 is the most urgent.
    unsigned rank = 0;
    std::string tenant;
    /// What it takes of a server, in ordinary requests.
    double cost = 1;
};

/// Wakes waiting requests of a service one at a time: the most urgent first,
/// and among them in turns that share the room evenly over tenants by the cost
/// of their requests, so that one tenant's surge waits behind itself. Equal
/// turns go in the order of arrival. Runs on one thread.
class room_queue
{
public:
    /// Waits until room may be free or the time is up.
    boost::asio::awaitable<void> wait(waiting_request who, duration longest);

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
        /// Start-time tag of fair queueing.
        double turn = 0;
        std::uint64_t number = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on the operator.
        friend auto operator<=>(const place&, const place&) = default;
    };

    /// Turns of one service since requests last waited for it.
    struct turns
    {
        /// Turn of the request that was woken last.
        double now = 0;
        /// First turn that each tenant's next request may take.
        std::map<std::string, double> next;
    };

    place take_place(const waiting_request& who);
    void leave(const place& from);

    std::map<place, boost::asio::steady_timer*> m_waiting;
    std::map<std::string, turns> m_turns;
    std::uint64_t m_next = 0;
};

} // namespace limpet::gateway
