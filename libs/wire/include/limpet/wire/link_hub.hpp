/// \file
/// Connections to the other processes of the project.

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

/// Who a process is towards its peers.
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
    /// Frames that wait for a slow or lost peer, in bytes for each link.
    std::size_t max_queued_bytes = 16 * 1024 * 1024;
    duration connect_timeout = seconds(2);
    duration reconnect_delay = milliseconds(100);
    duration max_reconnect_delay = seconds(2);
    /// Time after which unacknowledged bytes end a connection.
    duration silence_timeout = seconds(3);
    std::size_t max_incoming = 2000;
};

/// Callbacks of a hub. Called from the threads of the io_context, frames of
/// one connection one at a time.
struct link_handlers
{
    std::function<void(
        const link_identity& from, channel kind, std::string payload)>
        on_frame;
    /// A connection to the peer ended; frames queued for it are lost.
    std::function<void(const vm_id& peer)> on_lost;
};

/// What a fault switch does to the links with a peer.
enum class link_fault
{
    none,  ///< Links work.
    cut,   ///< Frames are lost and the sender is told.
    silent ///< Frames are lost and nobody is told.
};

/// Parses "none", "cut" or "silent".
outcome<link_fault> parse_link_fault(std::string_view text);

/// Sends frames to peers by VM and receives theirs. Each direction has its
/// own connection, opened by the sender, and callers' data has another one
/// than control traffic, so that it does not delay it. Frames of one channel
/// class arrive in order; a lost connection loses frames. Thread-safe.
class link_hub
{
public:
    /// Listens at the endpoint; port 0 picks a free one and replaces the
    /// identity's port.
    static outcome<std::shared_ptr<link_hub>>
    listen(boost::asio::io_context& context,
           const boost::asio::ip::tcp::endpoint& endpoint,
           link_identity self,
           const link_settings& settings,
           link_handlers handlers);

    virtual ~link_hub() = default;

    /// Returns this process's identity.
    virtual const link_identity& self() const = 0;

    /// Sets the address of a peer. A changed address ends its connections.
    virtual void set_peer(const vm_id& peer,
                          const boost::asio::ip::tcp::endpoint& address) = 0;

    /// Closes the connections to the peer and forgets its address.
    virtual void remove_peer(const vm_id& peer) = 0;

    /// Queues a frame. A frame to this process itself is delivered without a
    /// connection. Errors: unavailable without an address, overloaded when
    /// the queue is full.
    virtual status
    send(const vm_id& peer, channel kind, std::string payload) = 0;

    virtual const traffic_counters& counters() const = 0;

    /// Makes the links with the peer fail, in both directions, or work again.
    /// Errors: invalid_argument in a build without LIMPET_FAULT_SWITCH.
    virtual status set_fault(const vm_id& peer, link_fault fault) = 0;

    /// Ends all connections and stops listening.
    virtual void close() = 0;
};

/// Sets the fault that a test's document names, such as
/// `{"peer": "router-1", "fault": "silent"}`. Errors: invalid_argument.
status set_fault(link_hub& hub, const boost::json::value& document);

} // namespace limpet::wire
