/// \file
/// Gateway: a router that proxies callers' requests to backend servers.

#pragma once

#include <limpet/gateway/gateway_settings.hpp>
#include <limpet/gateway/protocol.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace limpet::gateway
{

/// Runs a gateway's listeners, server pool and directory client on one
/// io_context with one thread.
class gateway
{
public:
    /// Opens the listeners and starts. The codec must outlive the gateway.
    /// Errors: io_error if an address cannot be bound.
    static outcome<std::unique_ptr<gateway>>
    create(boost::asio::io_context& context,
           const gateway_settings& settings,
           const protocol& codec);

    virtual ~gateway() = default;

    /// Applies changed settings: subscribes to new seeds as well. Other changed
    /// settings need a restart; a change of an address or of the VM is logged
    /// as a warning.
    virtual void reload(const gateway_settings& settings) = 0;

    /// Withdraws readiness, closes connections as their requests end, and calls
    /// back when no connection is left. Call once.
    virtual void drain(std::function<void()> on_drained) = 0;

    /// Closes all listeners and connections at once.
    virtual void close() = 0;
};

} // namespace limpet::gateway
