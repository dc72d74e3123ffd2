/// \file
/// Queue of requests that wait for backend server capacity.

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

/// Properties of a waiting request that determine its queue position.
struct waiting_request
{
    std::string service;
    /// Priority; 0 is the most urgent.
    unsigned rank = 0;
    std::string tenant;
    /// Expected server work, in units of an average request.
    double cost = 1;
};

/// Wakes the waiting requests of a service one at a time, the most urgent
/// first. Requests of equal priority are ordered by start-time fair queueing
/// over tenants, weighted by cost, so that one tenant's surge delays only that
/// tenant. Equal start tags are served in the order of arrival. Runs on one
/// thread.
class wait_queue
{
public:
    /// Waits until the request is woken or the time has passed.
    boost::asio::awaitable<void> wait(waiting_request request,
                                      duration timeout);

    /// Wakes the first request of the service.
    void wake(const std::string& service);

    /// Wakes all requests, for use when the servers or the plan changed.
    void wake_all();

    std::size_t size() const noexcept
    {
        return m_waiting.size();
    }

    /// Returns the number of waiting requests of the service.
    std::size_t size(const std::string& service) const;

private:
    /// Position in the queue; lower keys are served first.
    struct queue_key
    {
        std::string service;
        unsigned rank = 0;
        /// Start tag of start-time fair queueing, in units of cost.
        double start_tag = 0;
        std::uint64_t sequence = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the operator
        friend auto operator<=>(const queue_key&, const queue_key&) = default;
    };

    /// Fair-queueing state of one service; discarded when its queue empties.
    struct service_state
    {
        /// Virtual time: start tag of the request that was woken last.
        double virtual_time = 0;
        /// Finish tag of each tenant's last request.
        std::map<std::string, double> finish_tags;
    };

    queue_key make_key(const waiting_request& request);
    void remove(const queue_key& key);

    std::map<queue_key, boost::asio::steady_timer*> m_waiting;
    std::map<std::string, service_state> m_services;
    std::uint64_t m_next_sequence = 0;
};

} // namespace limpet::gateway
