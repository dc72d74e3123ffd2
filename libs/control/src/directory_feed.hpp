/// \file
/// Tells routers and the other replicas of orders and registrations.

#pragma once

#include "order_feed.hpp"

#include <limpet/directory/update.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace limpet::control
{

/// Hooks of the replica around the feed.
struct feed_callbacks
{
    /// Returns the orders as this replica knows them.
    std::function<const directory::intent&()> orders;
    /// Returns whether this replica is sure that they are the newest ones.
    std::function<bool()> is_sure;
    /// VMs of the control group as this replica knows them.
    std::function<std::vector<vm_id>()> replicas;
    std::function<void(std::vector<vm_id>)> on_contacts;
    /// Called at each period.
    std::function<void()> on_tick;
};

/// Keeps the table of registrations in step with the other replicas and sends
/// each subscriber what changed since it was last told. Runs on one thread.
class directory_feed
{
public:
    directory_feed(boost::asio::io_context& context,
                   std::shared_ptr<wire::link_hub> hub,
                   duration sign_of_life_period,
                   feed_callbacks callbacks);

    /// Starts the periodic work. Call once.
    void start();

    void stop();

    /// Asks the replica to tell this one of its changes.
    void add_contact(const vm_id& replica);

    void receive(const wire::link_identity& from, std::string_view payload);

    /// The link to the peer ended; what was sent may be lost.
    void on_lost(const vm_id& peer);

    /// Takes note of orders that were just put in force and tells all
    /// subscribers, if this replica is sure of them.
    void orders_changed();

    /// Takes what a backend server says of itself and passes a change on
    /// before it returns.
    directory::merge_result take(const directory::registration& news);

    /// Notes that a backend server has left, as take() does.
    directory::merge_result leave(const engine_id& id);

    /// Routers that asked for changes lately.
    std::uint32_t routers() const;

    /// Backend servers that are known, those that left lately included.
    std::size_t servers() const noexcept
    {
        return m_table.size();
    }

private:
    struct subscriber
    {
        incarnation start;
        bool is_router = false;
        time_point heard_at{};
        /// Number of the last change that was sent, 0 for none.
        std::uint64_t sent_change = 0;
    };

    void tick();
    void schedule();
    void take_rows(const directory::update& news);
    void note_subscriber(const wire::link_identity& from,
                         const directory::update& news);
    /// Sends what the subscriber lacks; without is_forced nothing if it lacks
    /// nothing.
    void tell(const vm_id& peer, subscriber& to, bool is_forced);
    void tell_all(bool is_forced);
    /// Returns the replicas heard of lately, this one included.
    std::vector<vm_id> replicas_in_touch() const;
    void send_signs_of_life();
    void send(const vm_id& peer, const directory::update& news);

    boost::asio::steady_timer m_timer;
    std::shared_ptr<wire::link_hub> m_hub;
    duration m_silence_limit;
    feed_callbacks m_callbacks;
    directory::registration_table m_table;
    std::map<vm_id, subscriber> m_subscribers;
    order_feed m_orders;
    /// When each other replica was last heard of.
    std::map<vm_id, time_point> m_replicas_heard;
    std::vector<vm_id> m_contacts;
    /// Servers that reported here since the last tick.
    std::vector<engine_id> m_reported;
    bool m_stopped = false;
};

} // namespace limpet::control
