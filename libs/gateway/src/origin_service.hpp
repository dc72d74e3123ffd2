/// \file
/// What began the streams, shared with the other routers.

#pragma once

#include <limpet/origins/origin_exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace limpet::gateway
{

/// Callbacks of the surrounding gateway.
struct origin_callbacks
{
    /// Sends a frame to a router.
    std::function<void(const vm_id& router, std::string payload)> send;
    /// See origin_exchange::version_function.
    origins::origin_exchange::version_function only_version;
    /// Returns the services of which this router cannot exclude that they have
    /// several versions.
    std::function<std::set<origins::service_key>()> shared_services;
};

/// Runs an origin_exchange over the links between routers. Used on one thread.
class origin_service
{
public:
    origin_service(const vm_id& self,
                   const data_centre_id& home,
                   origin_callbacks callbacks);

    /// Returns the only version that can have begun a stream of the service
    /// within the time, if this router is sure of it.
    std::optional<origins::version_key>
    only_version(origins::service_key service, duration max_age) const;

    /// Returns what began the stream, if this router knows it.
    std::optional<origins::origin> known(origins::stream_key stream) const;

    /// Records what began a stream of this router.
    void record(const origins::origin& begun);

    /// Returns what began the stream. Asks the other routers if this one does
    /// not know, and waits for a short time at most.
    boost::asio::awaitable<std::optional<origins::origin>>
    find(origins::query asked);

    void set_routers(origins::router_map routers);

    /// See origin_exchange.
    void set_replicas(std::set<vm_id> known, const std::set<vm_id>& live);

    /// Shares the streams recorded so far of services that have to be shared
    /// from now on. Call after each change that shared_services depends on.
    void update_sharing();

    /// Handles a frame of another router.
    void receive(const vm_id& from, std::string_view payload);

    /// Handles the loss of the link to another router.
    void on_lost(const vm_id& router);

private:
    /// A request that waits for answers about a stream.
    struct waiter
    {
        origins::stream_key stream;
        boost::asio::steady_timer* timer = nullptr;
    };

    void
    send(const std::vector<origins::origin_exchange::addressed_message>& sent);
    bool is_decided(origins::stream_key stream) const;
    /// Wakes the requests whose streams are decided.
    void wake_waiters();

    origin_callbacks m_callbacks;
    origins::origin_exchange m_exchange;
    std::list<waiter> m_waiters;
};

} // namespace limpet::gateway
