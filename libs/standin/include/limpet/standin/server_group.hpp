/// \file
/// Runs the fake backend servers of one process.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/standin/fault.hpp>
#include <limpet/standin/run_record.hpp>
#include <limpet/standin/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace limpet::standin
{

/// Runs fake engines and fake plain services that announce themselves to
/// routers. Thread-safe.
class server_group
{
public:
    /// Listens at all addresses and starts announcing. Errors: io_error.
    static outcome<std::unique_ptr<server_group>>
    create(boost::asio::io_context& context, const standin_settings& settings);

    virtual ~server_group() = default;

    /// Returns the address of a server, which must be in the settings.
    virtual boost::asio::ip::tcp::endpoint
    address_of(const engine_id& server) const = 0;

    /// Returns the record of the requests that a server ran.
    virtual run_record& record_of(const engine_id& server) = 0;

    /// Returns the queue of faults to inject into a server's requests.
    virtual fault_queue& faults_of(const engine_id& server) = 0;

    /// Announces that all servers are draining, waits for the requests in
    /// progress, withdraws the announcements and calls the function.
    virtual void drain(std::function<void()> on_drained) = 0;

    /// Closes all connections at once and stops the announcements.
    virtual void close() = 0;
};

} // namespace limpet::standin
