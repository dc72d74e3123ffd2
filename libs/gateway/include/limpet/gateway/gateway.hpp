/// \file
/// A router that sends requests to backend servers itself.

#pragma once

#include <limpet/gateway/gateway_settings.hpp>
#include <limpet/gateway/protocol.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace limpet::gateway
{

/// All parts of a gateway on one io_context with one thread.
class gateway
{
public:
    /// Listens and starts. The protocol must outlive the gateway. Errors:
    /// io_error when an address cannot be used.
    static outcome<std::unique_ptr<gateway>>
    create(boost::asio::io_context& context,
           const gateway_settings& settings,
           const protocol& language);

    virtual ~gateway() = default;

    /// Takes over changed settings: new seeds are asked as well. All else needs
    /// a restart, and is logged where it changed.
    virtual void reload(const gateway_settings& settings) = 0;

    /// Says that it takes no connections any more, ends those it has and
    /// calls back when all requests in progress have ended. Call once.
    virtual void drain(std::function<void()> on_drained) = 0;

    /// Ends everything at once.
    virtual void close() = 0;
};

} // namespace limpet::gateway
