/// \file
/// Distributes orders and registrations to routers and other replicas.

#pragma once

#include "content_meter.hpp"
#include "event_loop.hpp"
#include "link_budget.hpp"
#include "load_feed.hpp"
#include "order_feed.hpp"
#include "work_meter.hpp"

#include <limpet/directory/update.hpp>
#include <limpet/wire/link_hub.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace limpet::control
{

/// Functions of the surrounding replica that the feed calls.
struct feed_callbacks
{
    /// Returns the orders that this replica has applied.
    std::function<const directory::intent&()> orders;
    /// Returns whether this replica holds the leader lease, so that no newer
    /// orders can have been acknowledged.
    std::function<bool()> has_lease;
    /// Returns the members of the control group that this replica knows.
    std::function<std::vector<vm_id>()> replicas;
    /// Returns whether this replica has applied all entries of its log.
    std::function<bool()> is_settled;
    /// Called with VMs that another replica named as members of the group.
    std::function<void(std::vector<vm_id>)> on_contacts;
    /// Called at each update period.
    std::function<void()> on_tick;
};

/// Synchronizes the table of registrations with the other replicas and sends
/// the changes to the routers. Runs on one thread.
///
/// A change crosses each link once: the replica that a server reported to
/// sends it to the other replicas, and each of them to the routers assigned to
/// it. Subscribers report digests of what they have; a change that is missing
/// at one of them after withhold_timeout is sent by all replicas.
class directory_feed
{
public:
    directory_feed(event_loop loop,
                   std::shared_ptr<wire::link_hub> hub,
                   duration server_heartbeat_period,
                   work_meter& meter,
                   feed_callbacks callbacks);

    /// Starts the periodic work. Call once.
    void start();

    void stop();

    /// Subscribes to the changes of another replica.
    void add_contact(const vm_id& replica);

    /// Handles a frame of the directory channel.
    void receive(const wire::link_identity& from, std::string_view payload);

    /// Handles the loss of the link to the peer; frames in flight may be lost
    /// and are sent again.
    void on_lost(const vm_id& peer);

    /// Records newly applied orders and sends them to all subscribers that
    /// this replica is responsible for.
    void orders_changed();

    /// Merges a registration that a backend server reported. A change is sent
    /// to all subscribers with the next round of updates.
    directory::merge_result take(const directory::registration& reported);

    /// Records that a backend server has deregistered; sends the change like
    /// take().
    directory::merge_result leave(const engine_id& id);

    /// Merges departures from the replicated log, which every replica has. Each
    /// sends them to the routers assigned to it.
    void take_departures(const std::vector<directory::registration>& departed);

    const directory::registration_table& registrations() const noexcept
    {
        return m_table;
    }

    /// Returns the exchange of loads with routers and other replicas.
    directory::load_exchange& loads() noexcept
    {
        return m_loads.exchange();
    }

    /// Returns the number of subscribed routers.
    std::uint32_t routers() const;

    /// Returns the number of known backend servers, including those that left
    /// within the retention time.
    std::size_t servers() const noexcept
    {
        return m_table.size();
    }

    /// Returns what the frames held that were sent.
    content_meter& sent_content() noexcept
    {
        return m_sent_content;
    }

private:
    struct subscriber
    {
        incarnation start;
        bool is_router = false;
        time_point heard_at{};
        /// Time of its newest subscription by its own clock.
        /// Routers of former releases do not send it.
        time_point asked_at{};
        /// Numbers of the last changes of registrations and of routers that
        /// were sent, 0 for none.
        std::uint64_t sent_change = 0;
        std::uint64_t sent_router_change = 0;
        /// Number of the last change up to which servers that leave were sent.
        std::uint64_t sent_leaving = 0;
        /// Members of the control group as last sent.
        std::vector<vm_id> sent_replicas;
        /// Whether it was sent all registrations once.
        bool is_complete = false;
        /// Whether the list of routers is to be sent in full.
        bool needs_routers = true;
        /// Whether this replica is the one assigned to the router.
        bool is_relayed_here = false;
        /// Numbers of the changes up to which the subscriber has all servers
        /// of a digest that are not gone.
        std::array<std::uint64_t, directory::digest_count> known_changes{};
        /// Number of the last of this replica's own changes that was sent.
        std::uint64_t sent_own_change = 0;
        /// The same for servers that leave.
        std::uint64_t sent_own_leaving = 0;
    };

    /// Last change of a router.
    struct router_entry
    {
        data_centre_id data_centre;
        bool is_gone = false;
        std::uint64_t change = 0;
    };

    void tick();
    void schedule();
    void record_router(const wire::link_identity& router);
    void remove_silent_subscribers(time_point now);
    void record_router_change(const vm_id& vm, router_entry& entry);
    /// Adds the changes of routers that the subscriber lacks, as far as the
    /// round allows. Only the replica assigned to it sends them: a list of all
    /// routers from every replica to every router would fill the links.
    void add_router_changes(directory::update& frame, subscriber& to);
    static bool needs_all_routers(const subscriber& to);
    bool may_send_routers(const subscriber& to);
    /// Returns how many router changes the current round may still send.
    std::size_t router_changes_left();
    /// Adds the members of the control group if the subscriber was sent others.
    void add_replicas(directory::update& frame, subscriber& to);
    /// Adds the registrations that the subscriber is to be sent now.
    void add_registrations(directory::update& frame, subscriber& to);
    /// Adds the servers that leave before all other changes: they must get no
    /// requests soon after this was acknowledged to them.
    void add_leaving_servers(directory::update& frame, subscriber& to);
    void add_pending_registrations(directory::update& frame, subscriber& to);
    void add_own_registrations(directory::update& frame, subscriber& to);
    /// Adds the servers that leave before all other changes, whatever the round
    /// has sent: the other replicas are to tell their routers as soon.
    void add_own_leaving_servers(directory::update& frame,
                                 subscriber& to) const;
    void record_change_time(time_point now);
    void record_own_change(const engine_id& id);
    void forget_own_changes();
    /// Returns how many registrations the current round may still send.
    std::size_t rows_left();
    bool has_pending_rows(const subscriber& to) const;
    bool has_pending_routers(const subscriber& to) const;
    /// Returns the number of the newest change that every replica sends to the
    /// subscribers that lack it.
    std::uint64_t overdue_change() const;
    void record_digests(subscriber& from, const directory::update& frame) const;
    void assign_routers();
    /// Returns how long this replica has known all registrations.
    duration history(time_point now) const;
    void merge_registrations(const vm_id& from, const directory::update& frame);
    /// Returns whether the registration of another replica is a change.
    bool merge_registration(const directory::registration& row,
                            std::string_view source);
    void update_subscriber(const wire::link_identity& from,
                           const directory::update& frame);
    /// Sends the changes that are due at the subscriber. If there are
    /// none, sends an empty update only if is_forced.
    void send_update(const vm_id& peer, subscriber& to, bool is_forced);
    void send_updates(bool is_forced);
    /// Sends all subscribers what changed: at once, or together with later
    /// changes if the last round was a short time ago.
    void request_updates();
    /// Returns the replicas heard from within replica_timeout, including this
    /// one.
    std::vector<vm_id> live_replicas() const;
    void send_heartbeats();
    void send(const vm_id& peer, const directory::update& frame);

    event_loop m_loop;
    std::shared_ptr<wire::link_hub> m_hub;
    duration m_silence_timeout;
    work_meter& m_meter;
    feed_callbacks m_callbacks;
    directory::registration_table m_table;
    std::map<vm_id, subscriber> m_subscribers;
    std::map<vm_id, router_entry> m_routers;
    /// Routers by the number of their last change.
    std::map<std::uint64_t, vm_id> m_changed_routers;
    std::uint64_t m_router_changes = 0;
    time_point m_started_at;
    content_meter m_sent_content;
    order_feed m_orders;
    load_feed m_loads;
    /// Time of the last update from each other replica.
    std::map<vm_id, time_point> m_replicas_heard_at;
    std::vector<vm_id> m_contacts;
    /// Servers that reported to this replica since the last tick.
    std::vector<engine_id> m_reported;
    /// Servers whose change a server reported to this replica, by the number
    /// of the change, until all replicas were sent it.
    std::map<std::uint64_t, engine_id> m_own_changes;
    /// The number of the newest change at times within withhold_timeout, and
    /// the last one before.
    std::deque<std::pair<time_point, std::uint64_t>> m_change_times;
    time_point m_table_changed_at{};
    link_budget m_budget;
    /// Bytes sent since the current or last round began.
    std::size_t m_round_bytes = 0;
    /// Whether the current round has sent a list of all routers.
    bool m_is_list_of_round_sent = false;
    /// Overdue registrations that the current round may still send.
    std::size_t m_overdue_rows_left = 0;
    /// Subscriber that the next round begins with.
    vm_id m_next_subscriber;
    /// When the next round of updates may begin, and whether one is scheduled.
    time_point m_next_round{};
    bool m_is_round_scheduled = false;
    /// Cleared by stop(); delayed calls hold it weakly.
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
};

} // namespace limpet::control
