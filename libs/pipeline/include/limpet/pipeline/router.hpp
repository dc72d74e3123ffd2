/// \file
/// A router as a whole.

#pragma once

#include <limpet/pipeline/router_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace limpet::pipeline
{

/// All parts of a router on one io_context. Thread-safe.
class router
{
public:
    /// Listens and starts. `on_stop` is called once when the router must stop
    /// because a later process of its VM runs. Errors: io_error when an
    /// address cannot be used.
    static outcome<std::unique_ptr<router>>
    create(boost::asio::io_context& context,
           const router_settings& settings,
           std::function<void()> on_stop);

    virtual ~router() = default;

    /// Stops taking new requests, hands ownership over and calls back when
    /// all requests in progress have ended. Call once.
    virtual void drain(std::function<void()> on_drained) = 0;

    /// Ends everything at once.
    virtual void close() = 0;

    /// Returns the address for callers in use.
    virtual boost::asio::ip::tcp::endpoint callers() const = 0;

    /// Returns the address for backend servers in use.
    virtual boost::asio::ip::tcp::endpoint backends() const = 0;
};

} // namespace limpet::pipeline
