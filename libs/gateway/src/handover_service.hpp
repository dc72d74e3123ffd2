/// \file
/// Requests that routers serve for each other.

#pragma once

#include "link_exchange.hpp"

#include <limpet/origins/origin_exchange.hpp>
#include <limpet/pipeline/mailbox.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace limpet::gateway
{

/// The link to the router that serves a request was lost, and messages with it.
struct handover_link_lost
{
};

/// The caller is gone, or this router ends its requests.
struct handover_cancelled
{
};

using handover_event = std::
    variant<pipeline::exchange_content, handover_link_lost, handover_cancelled>;

/// Callbacks of the surrounding gateway.
struct handover_callbacks
{
    /// Sends a frame to a router. Errors: unavailable, overloaded.
    std::function<status(const vm_id& router, std::string payload)> send;
    /// Serves a request of another router's caller within the time. Returns
    /// false if it has not run and another router may be able to serve it.
    std::function<boost::asio::awaitable<bool>(http::exchange& caller,
                                               duration time_left)>
        serve;
    /// Counts a request of another router's caller of so many bytes. Returns
    /// null if there is no memory for it, and otherwise what releases it.
    std::function<std::shared_ptr<void>(std::size_t bytes)> claim_memory;
};

class handover_service;

/// A request that this router's caller sent and another router serves. Cancels
/// it if it is destroyed before its end.
class sent_handover
{
public:
    sent_handover(handover_service& service, vm_id router);
    ~sent_handover();

    sent_handover(const sent_handover&) = delete;
    sent_handover& operator=(const sent_handover&) = delete;

    /// Sends the request. It has not run if this fails.
    status open(const http::request& call, duration time_left);

    /// Returns what comes next, or nothing if that takes too long.
    boost::asio::awaitable<std::optional<handover_event>>
    next(time_point until);

    /// Lets the router send more bytes.
    void add_credit(std::uint32_t bytes);

    /// Lets next() return handover_cancelled.
    void cancel();

    const vm_id& router() const noexcept
    {
        return m_router;
    }

private:
    friend class handover_service;

    status send(pipeline::exchange_content content);

    handover_service& m_service;
    vm_id m_router;
    pipeline::exchange_id m_id;
    std::shared_ptr<pipeline::mailbox<handover_event>> m_events;
    bool m_has_ended = false;
};

/// Hands requests over to other routers and serves those of others. A request
/// that was handed over is not handed over again. Used on one thread.
class handover_service
{
public:
    /// Requests in progress that were handed over to other routers, and those
    /// of others. More are refused.
    static constexpr std::size_t max_sent = 256;
    static constexpr std::size_t max_served = 256;

    handover_service(boost::asio::io_context& context,
                     const vm_id& self,
                     data_centre_id home,
                     handover_callbacks callbacks);

    void set_routers(origins::router_map routers);

    /// Returns a router to hand a request for the service over to: one of this
    /// data centre if possible and, as a data centre may be cut off as a whole,
    /// one of another after the first. None of those that were tried, and none
    /// that could not serve the service recently.
    std::optional<vm_id> choose(const std::string& service,
                                const std::vector<vm_id>& tried,
                                time_point now);

    /// Records that the router cannot serve requests of others for the service
    /// now.
    void on_not_served(const vm_id& router,
                       const std::string& service,
                       time_point now);

    /// Handles a frame of another router.
    void receive(const vm_id& from, std::string_view payload);

    /// Handles the loss of the link to another router.
    void on_lost(const vm_id& router);

    /// Returns the numbers of requests in progress.
    std::size_t sent_count() const noexcept
    {
        return m_sent.size();
    }
    std::size_t served_count() const noexcept
    {
        return m_served.size();
    }

private:
    friend class sent_handover;

    using served_key = std::pair<vm_id, pipeline::exchange_id>;

    boost::asio::awaitable<void> serve(served_key key,
                                       pipeline::hand_over_message opened);
    void send(const vm_id& to,
              pipeline::exchange_id id,
              pipeline::exchange_content content);

    boost::asio::io_context& m_context;
    data_centre_id m_home;
    handover_callbacks m_callbacks;
    origins::router_map m_routers;
    /// Routers that could not serve a request, and until when none is handed
    /// over to them.
    std::map<std::pair<vm_id, std::string>, time_point> m_not_serving_until;
    std::map<pipeline::exchange_id, sent_handover*> m_sent;
    std::map<served_key, link_exchange*> m_served;
    std::uint64_t m_next_id;
    std::minstd_rand m_random;
};

} // namespace limpet::gateway
