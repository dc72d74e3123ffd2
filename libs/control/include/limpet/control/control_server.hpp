/// \file
/// A control replica: configuration store, operators' interface and links.

#pragma once

#include <limpet/control/control_settings.hpp>
#include <limpet/control/fleet_orders.hpp>
#include <limpet/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace limpet::control
{

/// Creates the request handler for the operators' address, which then replaces
/// the built-in operators' interface.
using interface_factory = std::function<http::server::handler(fleet_orders&)>;

/// Stores the replicated configuration, executes operators' commands and
/// distributes the configuration in force to routers. Runs on one io_context
/// with one thread.
class control_server
{
public:
    /// Opens the storage, listens on the configured addresses and starts the
    /// replica. Errors: io_error, corrupt.
    static outcome<std::unique_ptr<control_server>>
    create(boost::asio::io_context& context,
           const control_settings& settings,
           const interface_factory& make_interface = nullptr);

    virtual ~control_server() = default;

    /// Applies changed settings without a restart: seeds that were added are
    /// contacted as well. Every other change requires a restart.
    virtual void reload(const control_settings& settings) = 0;

    /// Transfers leadership to another replica, syncs the storage and then
    /// calls `on_drained`.
    virtual void drain(std::function<void()> on_drained) = 0;

    /// Closes all connections and listeners immediately.
    virtual void close() = 0;

    /// Returns the address on which the server listens for operators.
    virtual boost::asio::ip::tcp::endpoint operators() const = 0;
};

} // namespace limpet::control
