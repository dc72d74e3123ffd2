/// \file
/// Entry point to the router's components.

#pragma once

#include <limpet/pipeline/router_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace limpet::pipeline
{

/// A router with all its components on one io_context. Thread-safe.
class router
{
public:
    /// Starts listening and processing requests. `on_stop` is called once when
    /// the router must stop because a newer process of its VM is running.
    /// Errors: io_error if an address cannot be used.
    static outcome<std::unique_ptr<router>>
    create(boost::asio::io_context& context,
           const router_settings& settings,
           std::function<void()> on_stop);

    virtual ~router() = default;

    /// Stops accepting requests, hands over the ownership of engines and calls
    /// `on_drained` when all requests in progress have ended. Must be called at
    /// most once.
    virtual void drain(std::function<void()> on_drained) = 0;

    /// Closes all connections immediately.
    virtual void close() = 0;

    /// Returns the address on which the router listens for callers.
    virtual boost::asio::ip::tcp::endpoint callers() const = 0;

    /// Returns the address on which the router listens for backend servers.
    virtual boost::asio::ip::tcp::endpoint backends() const = 0;
};

} // namespace limpet::pipeline
