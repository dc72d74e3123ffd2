/// \file
/// Processes callers' requests at their entry router.

#pragma once

#include "attempt.hpp"
#include "claims_client.hpp"
#include "filters.hpp"
#include "membership_service.hpp"
#include "request_ids.hpp"
#include "request_metrics.hpp"
#include "routing_table.hpp"

#include <limpet/admission/retry_budget.hpp>
#include <limpet/base/random.hpp>
#include <limpet/placement/itinerary.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace limpet::pipeline
{

/// Components that the entry service uses.
struct entry_parts
{
    std::shared_ptr<wire::link_hub> hub;
    std::shared_ptr<membership_service> members;
    std::shared_ptr<routing_table> routes;
    std::shared_ptr<request_metrics> metrics;
    std::shared_ptr<claims_client> claims;
    /// Returns the configuration in force, or null if none has been received.
    std::function<config::view_ptr()> config;
};

/// Applies the filters to each request, then tries engines until one completes
/// the response. Thread-safe.
class entry_service
{
public:
    explicit entry_service(entry_parts parts);

    /// Handles one request.
    boost::asio::awaitable<void> handle(http::exchange& caller);

    /// Processes an exchange message from an engine's owner.
    void receive(const wire::link_identity& from, exchange_message message);

    /// Notifies the exchanges with the router that messages may have been lost.
    void on_peer_lost(const vm_id& peer);

    /// Returns the number of requests in progress.
    std::size_t open_count() const noexcept
    {
        return m_open_count;
    }

private:
    filter_result run_filters(request_context& context);
    boost::asio::awaitable<void> run(request_context& context);
    boost::asio::awaitable<claims::settle>
    run_claimed(request_context& context);
    boost::asio::awaitable<void> replay(request_context& context,
                                        const claims::settle& result);
    boost::asio::awaitable<filter_result> try_engines(request_context& context,
                                                      answer_writer& writer);
    boost::asio::awaitable<attempt_result>
    try_engine(request_context& context,
               answer_writer& writer,
               const attempt_target& target);
    boost::asio::awaitable<void> refuse(request_context& context,
                                        const refusal& why);
    placement::stop next_stop(const model_id& model,
                              placement::itinerary& itinerary);
    std::optional<attempt_target> find_owner(const engine_id& engine,
                                             const placement::stop& stop) const;
    bool may_retry(const request_context& context,
                   const answer_writer& writer,
                   const attempt_result& result);
    void notify_directory_owners(const request_context& context,
                                 const placement::itinerary& itinerary);
    void log_end(const request_context& context) const;

    entry_parts m_parts;
    request_id_source m_ids;
    std::vector<filter> m_filters;
    std::shared_ptr<open_requests> m_open;
    attempt_registry m_registry;
    placement::route_settings m_route_settings;
    std::mutex m_budget_mutex;
    admission::retry_budget m_budget;
    std::mutex m_spares_mutex;
    std::unordered_map<model_id, placement::spare_list> m_spares;
    random_source m_random;
    std::atomic<std::size_t> m_open_count{0};
};

} // namespace limpet::pipeline
