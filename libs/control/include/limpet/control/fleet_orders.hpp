/// \file
/// Interface-independent operations of a control replica: orders of operators
/// and registrations of backend servers.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/directory/intent.hpp>
#include <limpet/directory/registration.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>

namespace limpet::control
{

/// Operations that a replica offers to operators and backend servers. All must
/// be called on the replica's thread.
class fleet_orders
{
public:
    virtual ~fleet_orders() = default;

    /// Commits the order; returns once it is replicated and durable. A
    /// complete document is replicated as a delta against the one in force
    /// where possible. Errors: not_leader if the order has no effect;
    /// unavailable if it is unknown whether the order takes effect.
    virtual boost::asio::awaitable<status> submit(directory::command order) = 0;

    /// Returns the newest document, null before the first one. The read is
    /// linearizable: a follower first asks the leader for the newest
    /// acknowledged log index. Errors: not_leader or unavailable if this
    /// replica cannot guarantee that its document is the newest.
    virtual boost::asio::awaitable<
        outcome<std::shared_ptr<const directory::stored_document>>>
    read_document() = 0;

    /// Returns whether operators may order rollouts.
    virtual bool offers_rollouts() const = 0;

    /// Begins a rollout of a service. An order that was accepted a short time
    /// ago, or whose rollout is running, is acknowledged again. Errors:
    /// conflict if the service has another rollout that is running; not_leader
    /// and unavailable like submit().
    virtual boost::asio::awaitable<status>
    start_rollout(rollout::start_order order) = 0;

    /// Returns the service's rollout that began last, if there is one. The read
    /// is linearizable. Errors: those of read_document().
    virtual boost::asio::awaitable<outcome<std::optional<rollout::record>>>
    read_rollout(const std::string& service) = 0;

    /// Returns whether this replica is the leader. Only the leader accepts
    /// orders.
    virtual bool is_leader() const = 0;

    /// Returns the version of the document that this replica has applied,
    /// nullopt before the first one. May be stale at a follower.
    virtual std::optional<directory::document_version>
    version_in_force() const = 0;

    /// Merges a registration that a backend server reported. It is in force at
    /// this replica, and is sent to the others, but the loss of this replica
    /// may lose it.
    virtual directory::merge_result
    take(const directory::registration& reported) = 0;

    /// Returns once a majority of the group has stored that the server drains,
    /// as take() has merged with the result: from then on no loss that the
    /// group survives lets it get requests again. Errors: unavailable if this
    /// is unknown; it is in force at this replica nonetheless.
    virtual boost::asio::awaitable<status>
    record_draining(const directory::registration& reported,
                    directory::merge_result taken) = 0;

    /// Deregisters a backend server. Returns once a majority of the group has
    /// stored it, like record_draining(). Errors: unavailable like it; conflict
    /// if the server has started again a short time ago, so that an earlier
    /// start may have sent the deregistration, which has no effect.
    virtual boost::asio::awaitable<status> leave(const engine_id& id) = 0;

    /// Returns the operators' address of the leader if another replica is
    /// known to be the leader.
    virtual std::optional<boost::asio::ip::tcp::endpoint> leader() const = 0;
};

} // namespace limpet::control
