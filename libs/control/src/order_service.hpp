/// \file
/// Implementation of fleet_orders on a replica.

#pragma once

#include "control_state.hpp"
#include "departure_recorder.hpp"
#include "directory_feed.hpp"
#include "follower_reads.hpp"
#include "rollout_service.hpp"

#include <limpet/control/fleet_orders.hpp>
#include <limpet/replica/replica.hpp>

#include <cstdint>
#include <optional>

namespace limpet::control
{

/// The VM of this replica, and the operators' port that all replicas use.
struct vm_ports
{
    vm_id vm;
    std::uint16_t operators = 0;
};

/// Returns the order to record a software version of the servers that is not
/// known yet, if there is one.
std::optional<directory::command>
find_new_version(const directory::registration_table& servers,
                 const directory::intent& known);

/// Proposes orders to the replicated log and reads the state in force. All
/// references passed to the constructor must outlive the service. Not
/// thread-safe.
class order_service final : public fleet_orders
{
public:
    order_service(const control_state& state,
                  replica::replica& log,
                  directory_feed& feed,
                  follower_reads& reads,
                  departure_recorder& departures,
                  vm_ports self,
                  std::optional<duration> rollout_repeat_time);

    boost::asio::awaitable<status> submit(directory::command order) override;

    /// Proposes a version of the registered servers that is not recorded yet,
    /// if there is one and this replica leads. Call periodically.
    void record_versions();

    boost::asio::awaitable<
        outcome<std::shared_ptr<const directory::stored_document>>>
    read_document() override;

    bool offers_rollouts() const override;

    boost::asio::awaitable<status>
    start_rollout(rollout::start_order order) override;

    boost::asio::awaitable<outcome<std::optional<rollout::record>>>
    read_rollout(const std::string& service) override;

    /// Advances the rollouts. Call periodically.
    void update_rollouts(time_point now);

    bool is_leader() const override;

    std::optional<directory::document_version>
    version_in_force() const override;

    directory::merge_result
    take(const directory::registration& reported) override;

    boost::asio::awaitable<status>
    record_draining(const directory::registration& reported,
                    directory::merge_result taken) override;

    boost::asio::awaitable<status> leave(const engine_id& id) override;

    std::optional<boost::asio::ip::tcp::endpoint> leader() const override;

private:
    /// Returns the order with its document replaced by a delta against the
    /// document in force; unchanged if the order or this replica has no
    /// document.
    directory::command as_delta(const directory::command& order) const;

    boost::asio::awaitable<outcome<replica::proposal_result>>
    propose(const directory::command& order);

    boost::asio::awaitable<status> record(directory::registration departure);

    /// Returns once this replica has applied all orders that were acknowledged
    /// before. Errors: not_leader or unavailable if it cannot tell.
    boost::asio::awaitable<status> read_barrier();
    bool is_repeated(const rollout::record& known,
                     const rollout::start_order& order) const;

    const control_state& m_state;
    replica::replica& m_log;
    directory_feed& m_feed;
    follower_reads& m_reads;
    departure_recorder& m_departures;
    vm_ports m_self;
    rollout_service m_rollouts;
    std::optional<duration> m_rollout_repeat_time;
    /// Whether a version has been proposed whose result is not known.
    bool m_is_recording = false;
};

} // namespace limpet::control
