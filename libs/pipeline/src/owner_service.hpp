/// \file
/// Processes the requests for the engines that this router owns.

#pragma once

#include "engine_table.hpp"
#include "membership_service.hpp"
#include "served_exchange.hpp"
#include "shared_directory.hpp"

#include <limpet/claims/dispatch_ledger.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpet::pipeline
{

/// State of an engine as shown to operators.
struct engine_status
{
    engine_id engine;
    std::uint32_t in_flight = 0;
    std::size_t waiting = 0;
    std::uint32_t limit = 0;
    std::uint32_t bound = 0;
    bool in_service = true;
};

/// Receives exchanges, queues them at their engine's dispatcher and runs them.
/// Each engine has its own lock. Thread-safe.
class owner_service : public std::enable_shared_from_this<owner_service>
{
public:
    owner_service(boost::asio::io_context& context,
                  std::shared_ptr<wire::link_hub> hub,
                  std::shared_ptr<http::client> client,
                  std::shared_ptr<membership_service> members,
                  std::shared_ptr<shared_directory> directory);

    /// Processes an exchange message from an entry router.
    void receive(const wire::link_identity& from, exchange_message message);

    /// Applies a changed engine list or configuration.
    void update(const membership_service::view_ptr& members,
                const config::view_ptr& config);

    /// Processes a change of this router's ownership of an engine.
    void on_ownership(const membership::ownership_changed& change);

    /// Cancels the repeatable exchanges of an entry router whose link was lost.
    /// The entry router resumes them on other engines.
    void on_peer_lost(const vm_id& peer);

    /// Processes a backend server's load report.
    void report(const engine_id& engine, const placement::engine_report& load);

    /// Runs timed actions.
    void tick(time_point now);

    /// Returns the number of exchanges in progress.
    std::size_t open_count() const;

    /// Returns the state of the engines owned here.
    std::vector<engine_status> engines() const;

private:
    using exchange_ptr = std::shared_ptr<served_exchange>;

    void
    open(const wire::link_identity& from, exchange_id id, open_message request);
    void cancel(const request_id& key);
    void answer_query(const wire::link_identity& from,
                      exchange_id id,
                      const query_message& query);
    void refuse_open(const exchange_ptr& exchange,
                     error reason,
                     duration retry_after);
    bool register_exchange(const exchange_ptr& exchange);
    void close_exchange(const request_id& key);
    exchange_ptr find_exchange(const request_id& key) const;
    void release_engine(const engine_id& engine, time_point now);
    void poll(const owned_engine_ptr& engine, time_point now);
    void poll_all(time_point now);
    void
    execute_actions(const owned_engine_ptr& engine,
                    const std::vector<admission::dispatch_action>& actions);
    void start(const owned_engine_ptr& engine, const exchange_ptr& exchange);
    void finish(const owned_engine_ptr& engine,
                const exchange_ptr& exchange,
                const served_result& result);
    void publish_load(const owned_engine_ptr& engine);
    placement::chat_holders holders_of(const open_message& request,
                                       time_point now) const;
    std::vector<prefix_holder> hints_for(const open_message& request) const;
    admission::offer make_offer(const served_exchange& exchange,
                                time_point now) const;

    boost::asio::io_context& m_context;
    std::shared_ptr<wire::link_hub> m_hub;
    std::shared_ptr<http::client> m_client;
    std::shared_ptr<membership_service> m_membership;
    std::shared_ptr<shared_directory> m_directory;

    engine_table m_engines;

    mutable std::mutex m_exchanges_mutex;
    std::unordered_map<request_id, exchange_ptr> m_exchanges;
    claims::dispatch_ledger m_ledger;
};

} // namespace limpet::pipeline
