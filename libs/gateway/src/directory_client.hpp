/// \file
/// Receives operators' orders and server registrations from the control
/// replicas.

#pragma once

#include <limpet/directory/update.hpp>
#include <limpet/gateway/gateway_settings.hpp>
#include <limpet/origins/origin_exchange.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpet::gateway
{

/// The operators' orders: the configuration document and the data centres
/// taken out of service.
struct fleet_orders
{
    /// Index in the control group's log; 0 before the first orders.
    std::uint64_t index = 0;
    /// The configuration document; empty before the first one.
    std::string document;
    /// Data centres whose servers get no requests.
    std::set<std::string> taken_out;
    /// Software versions that servers have had.
    directory::version_map versions;
    rollout::record_map rollouts;
};

/// Callbacks for changes that the control replicas report.
struct directory_callbacks
{
    std::function<void(const fleet_orders&)> on_orders;
    /// Called for each registration that changed.
    std::function<void(const directory::registration&)> on_registration;
    /// Called once after one or more registrations changed.
    std::function<void()> on_servers_changed;
    std::function<void(std::uint32_t)> on_routers;
    /// Called with all routers that live replicas name after a change.
    std::function<void(const origins::router_map&)> on_router_map;
    /// Called with each frame of another router, and after the loss of the
    /// link to one.
    std::function<void(const vm_id&, const std::string&)> on_router_frame;
    std::function<void(const vm_id&, const std::string&)> on_quarantine_frame;
    std::function<void(const vm_id&, const std::string&)> on_exchange_frame;
    std::function<void(const vm_id&)> on_router_lost;
    /// Called after each check of which replicas are live, and when one has
    /// become so, with all that are known and those that are live.
    std::function<void(const std::set<vm_id>&, const std::set<vm_id>&)>
        on_replicas_checked;
    /// Returns the next message to the replica with which this gateway
    /// exchanges loads, or nothing while the replica owes an answer.
    std::function<std::optional<directory::load_update>()> take_load_update;
    /// Called with each message of that replica.
    std::function<void(const directory::load_update&)> on_load_update;
    /// Called when the link to that replica was lost.
    std::function<void()> on_load_peer_lost;
    /// Called when another replica takes its place.
    std::function<void()> on_load_peer_replaced;
};

/// Subscribes to every control replica that it discovers and merges their
/// updates. The index of the orders never decreases: older orders are ignored.
/// Runs on one thread.
class directory_client
{
public:
    static outcome<std::unique_ptr<directory_client>>
    listen(boost::asio::io_context& context,
           const gateway_settings& settings,
           directory_callbacks callbacks);

    /// `home` is this gateway's data centre.
    directory_client(boost::asio::io_context& context,
                     data_centre_id home,
                     directory_callbacks callbacks);

    void close();

    /// Subscribes to the replicas at these operator-interface addresses too.
    void add_seeds(const std::vector<boost::asio::ip::tcp::endpoint>& seeds);

    /// Returns the number of replicas that sent a frame within the timeout.
    std::size_t live_replica_count() const;

    /// Returns whether most members of the control group, as the live replicas
    /// name them, are live. The others cannot have orders in force that this
    /// gateway is not about to receive.
    bool is_in_touch() const;

    /// Returns since when this gateway knows of all registrations, also of
    /// servers that have left: nothing unless most replicas are live, as the
    /// others may know of more.
    std::optional<time_point> history_begins_at() const;

    /// Returns whether this gateway has all orders that were committed by
    /// `since`: most members answered a subscription sent later, with all
    /// entries of their logs applied, and this gateway has their orders. Unlike
    /// is_in_touch(), holds right after the process was suspended.
    bool has_orders_until(time_point since) const;

    /// Sends a frame to another router. Errors: unavailable, overloaded; they
    /// count as the loss of the link to it.
    status send_to_router(const vm_id& router,
                          wire::channel kind,
                          std::string payload);

private:
    struct replica
    {
        data_centre_id data_centre;
        time_point heard_at{};
        bool is_live = false;
        /// Since when it knows all registrations; nothing while it has not sent
        /// all of them.
        std::optional<time_point> history_begins_at;
        /// When this gateway sent the newest subscription that it answered, the
        /// log index of the orders that it had then, and whether no entry of
        /// its log was left to apply.
        time_point answered_subscription{};
        std::uint64_t orders_index = 0;
        bool is_settled = false;
        /// The routers that subscribe to it.
        origins::router_map routers;
        /// Members of the control group, as it names them.
        std::vector<vm_id> members;
    };

    void add_replica(const vm_id& vm);
    /// Sets the address of a peer, which listens on this process's port.
    /// Returns false if its name is no IP address.
    bool set_peer_address(const vm_id& vm);
    void merge_routers(replica& from, const directory::update& update);
    /// Returns the members of the control group, as the live replicas name
    /// them.
    std::set<vm_id> members() const;
    /// Returns whether most members answered a subscription sent at `since` or
    /// later, with all entries of their logs applied and no orders after the
    /// index: no newer ones were acknowledged before then.
    bool are_newest_orders(std::uint64_t index, time_point since) const;
    /// Puts the stored orders in force if they are the first, and most replicas
    /// show that they are the newest. Needs no leader.
    void put_first_orders_in_force();
    void receive(const wire::link_identity& sender, std::string_view payload);
    void record_sign_of_life(const wire::link_identity& sender,
                             const directory::update& update);
    void merge_registrations(const vm_id& from,
                             const directory::update& update);
    /// Passes the orders of a replica on to the routers that it names.
    void forward_orders(const vm_id& from, const directory::update& update);
    /// Handles orders that another router passed on. They come into force only
    /// if others have been, or once they are confirmed.
    void receive_forwarded(const vm_id& router,
                           const directory::update& update,
                           std::size_t bytes);
    /// Logs newer orders than the stored ones, and how they came.
    void log_orders(const vm_id& from,
                    const directory::update& update,
                    std::size_t bytes) const;
    void apply_orders(const directory::update& update);
    /// Stores the orders of the update if they are newer than the stored ones.
    /// Returns whether the stored orders are now at least as new as the
    /// update's.
    bool store_if_newer(const directory::update& update);
    /// Returns the document that the update carries in full or as a delta.
    /// Errors: corrupt, malformed.
    outcome<std::string> read_document(const directory::update& update) const;
    void on_timer();
    void report_replicas();
    void schedule();
    void subscribe(const vm_id& vm);
    void schedule_load_exchange();
    void send_loads();
    /// Returns the replica with which this gateway exchanges loads: a live one,
    /// if possible of the same data centre. Spreads the gateways evenly over
    /// the replicas.
    std::optional<vm_id> find_load_relay() const;
    void set_load_relay(const std::optional<vm_id>& relay);
    void send(const vm_id& vm, const directory::update& update);

    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_load_timer;
    directory_callbacks m_callbacks;
    std::shared_ptr<wire::link_hub> m_hub;
    data_centre_id m_home;
    /// The replica with which this gateway exchanges loads.
    std::optional<vm_id> m_load_relay;
    std::map<vm_id, replica> m_replicas;
    /// In whole milliseconds, as the times that replicas return.
    time_point m_started_at =
        std::chrono::floor<milliseconds>(monotonic_clock::now());
    directory::registration_table m_table;
    time_point m_table_changed_at{};
    /// Number of the last table change for which the callback was called.
    std::uint64_t m_notified_change = 0;
    /// The newest orders received from any replica. The first orders come into
    /// force only after a leader or most replicas confirmed that they are the
    /// newest.
    fleet_orders m_orders;
    /// Index of the orders in force.
    std::uint64_t m_in_force_index = 0;
    /// Whether the next document must be sent in full, since a delta could not
    /// be applied to the stored one.
    bool m_needs_full_document = false;
    bool m_closed = false;
};

} // namespace limpet::gateway
