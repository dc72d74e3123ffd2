/// \file
/// TCP connections between routers and control replicas.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/wire/frame.hpp>
#include <limpet/wire/traffic_counters.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace limpet::wire
{

/// Identity that a process announces to its peers.
struct link_identity
{
    vm_id vm;
    data_centre_id data_centre;
    incarnation start;
    /// Address under which peers reach this process, IP:PORT.
    std::string address;
};

/// Bounds and timeouts of the links.
struct link_settings
{
    std::size_t max_payload_bytes = 8 * 1024 * 1024;
    /// Limit on the frames queued for a slow or disconnected peer, in bytes
    /// for each connection.
    std::size_t max_queued_bytes = 16 * 1024 * 1024;
    /// Limit on the callers' data queued for all peers together, in bytes.
    /// Frames of up to 64 KiB do not count.
    std::size_t max_total_queued_bytes = 256 * 1024 * 1024;
    /// Limit on the frames that are being received from all peers together, in
    /// bytes. Those of up to 16 KiB do not count.
    std::size_t max_total_received_bytes = 256 * 1024 * 1024;
    duration connect_timeout = seconds(2);
    duration reconnect_delay = milliseconds(100);
    duration max_reconnect_delay = seconds(2);
    /// Time for which a peer's machine may be silent before a connection ends,
    /// as http::options_for_silence() says.
    duration silence_timeout = seconds(3);
    /// Connections from peers. If there are as many, or a quarter as many that
    /// have not announced their peer, one of the latter ends for a new one.
    std::size_t max_incoming = 2000;
    /// Time in which a peer announces itself on a new connection.
    duration hello_timeout = seconds(3);
};

/// Callbacks of a hub, called from the threads of the io_context. Calls for
/// frames of the same connection do not overlap.
struct link_handlers
{
    std::function<void(
        const link_identity& from, channel kind, std::string payload)>
        on_frame;
    /// A connection to the peer was lost and the frames queued for it dropped.
    std::function<void(const vm_id& peer)> on_lost;
};

/// Fault injected into the connections with a peer.
enum class link_fault
{
    none,  ///< No fault.
    cut,   ///< Frames are dropped and on_lost is called at the sender.
    silent ///< Frames are dropped without a call of on_lost.
};

/// Parses "none", "cut" or "silent". Errors: invalid_argument.
outcome<link_fault> parse_link_fault(std::string_view text);

/// Exchanges frames with peers, which are addressed by VM. Each direction uses
/// its own connections, opened by the sender: one for callers' data and one
/// for control traffic, so that data does not delay control traffic. Frames
/// on the same connection arrive in order; when it is lost, frames may be
/// lost with it. Thread-safe.
class link_hub
{
public:
    /// Listens at the endpoint. With port 0 the system chooses a free port,
    /// and the identity's address is set to the one in use. Errors: io_error.
    static outcome<std::shared_ptr<link_hub>>
    listen(boost::asio::io_context& context,
           const boost::asio::ip::tcp::endpoint& endpoint,
           link_identity self,
           const link_settings& settings,
           link_handlers handlers);

    virtual ~link_hub() = default;

    /// Returns this process's identity.
    virtual const link_identity& self() const = 0;

    /// Sets the address of a peer. If the address has changed, the existing
    /// connections to the peer are closed.
    virtual void set_peer(const vm_id& peer,
                          const boost::asio::ip::tcp::endpoint& address) = 0;

    /// Closes the connections to the peer and removes its address.
    virtual void remove_peer(const vm_id& peer) = 0;

    /// Queues a frame. A frame addressed to this process is delivered locally,
    /// without a connection. Errors: unavailable if the peer has no address,
    /// overloaded if its queue is full.
    virtual status
    send(const vm_id& peer, channel kind, std::string payload) = 0;

    virtual const traffic_counters& counters() const = 0;

    /// Injects a fault into the connections with the peer, in both directions,
    /// or removes it.
    /// Errors: invalid_argument in a build without LIMPET_FAULT_SWITCH.
    virtual status set_fault(const vm_id& peer, link_fault fault) = 0;

    /// Closes all connections and stops listening.
    virtual void close() = 0;
};

/// Injects the fault described by a test's JSON document, such as
/// `{"peer": "router-1", "fault": "silent"}`. Errors: invalid_argument.
status set_fault(link_hub& hub, const boost::json::value& document);

} // namespace limpet::wire
