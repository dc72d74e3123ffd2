/// \file
/// A control replica as a whole.

#pragma once

#include <limpet/control/control_settings.hpp>
#include <limpet/control/fleet_orders.hpp>
#include <limpet/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace limpet::control
{

/// Makes the handler of the operators' address in place of the project's own
/// interface.
using interface_factory = std::function<http::server::handler(fleet_orders&)>;

/// Keeps the configuration, takes operators' commands and gives routers the
/// configuration in force. Runs on one io_context with one thread.
class control_server
{
public:
    /// Opens the storage, listens and starts. `on_failed` is called once when
    /// the storage fails. Errors: io_error, corrupt.
    static outcome<std::unique_ptr<control_server>>
    create(boost::asio::io_context& context,
           const control_settings& settings,
           std::function<void()> on_failed,
           const interface_factory& make_interface = nullptr);

    virtual ~control_server() = default;

    /// Takes over changed settings: new seeds are asked as well. All else needs
    /// a restart.
    virtual void reload(const control_settings& settings) = 0;

    /// Hands leadership over, syncs and calls back.
    virtual void drain(std::function<void()> on_drained) = 0;

    /// Ends everything at once.
    virtual void close() = 0;

    /// Returns the address for operators in use.
    virtual boost::asio::ip::tcp::endpoint operators() const = 0;
};

} // namespace limpet::control
