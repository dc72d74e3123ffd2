/// \file
/// Orders of the operator and news of backend servers, as a replica takes
/// them from whatever interface they came in by.

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

/// What a replica offers to operators and backend servers. Runs on the
/// thread of the replica.
class fleet_orders
{
public:
    virtual ~fleet_orders() = default;

    /// Puts the order in force; returns once it is replicated and durable. A
    /// whole document is replicated as its change where that is possible.
    /// Errors: not_leader, certain to have no effect; unavailable, its fate
    /// is unknown.
    virtual boost::asio::awaitable<status> submit(directory::command order) = 0;

    /// Returns the newest document, null before the first; a replica that
    /// follows asks the leader which one that is. Errors: not_leader or
    /// unavailable if this replica cannot be sure of it.
    virtual boost::asio::awaitable<
        outcome<std::shared_ptr<const directory::stored_document>>>
    read_document() = 0;

    /// Returns whether orders given to this replica have a chance.
    virtual bool is_leader() const = 0;

    /// Returns the version of the document as this replica knows it, nothing
    /// before the first.
    virtual std::optional<directory::document_version>
    version_in_force() const = 0;

    /// Takes what a backend server says of itself.
    virtual directory::merge_result
    take(const directory::registration& news) = 0;

    /// Notes that a backend server has left.
    virtual directory::merge_result leave(const engine_id& id) = 0;

    /// Returns where operators reach the leader, if it is known to be another
    /// replica.
    virtual std::optional<boost::asio::ip::tcp::endpoint> leader() const = 0;
};

} // namespace limpet::control
