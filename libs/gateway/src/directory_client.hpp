/// \file
/// Keeps a gateway in step with the control replicas.

#pragma once

#include <limpet/directory/update.hpp>
#include <limpet/gateway/gateway_settings.hpp>
#include <limpet/wire/link_hub.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace limpet::gateway
{

/// The operators' orders.
struct fleet_orders
{
    /// Position in the replicas' log; 0 before the first.
    std::uint64_t index = 0;
    /// The document; empty before the first.
    std::string document;
    /// Data centres whose servers get no requests.
    std::set<std::string> taken_out;
};

/// What the gateway does with the news.
struct directory_callbacks
{
    std::function<void(const fleet_orders&)> on_orders;
    /// Called for each registration that has changed.
    std::function<void(const directory::registration&)> on_registration;
    /// Called after registrations have changed.
    std::function<void()> on_servers_changed;
    std::function<void(std::uint32_t)> on_routers;
};

/// Subscribes to every control replica that it hears of and merges what they
/// tell. Orders only rise: an older state is never taken. Runs on one thread.
class directory_client
{
public:
    static outcome<std::unique_ptr<directory_client>>
    listen(boost::asio::io_context& context,
           const gateway_settings& settings,
           directory_callbacks callbacks);

    directory_client(boost::asio::io_context& context,
                     directory_callbacks callbacks);

    void close();

    /// Asks the replicas at these operators' addresses as well.
    void add_seeds(const std::vector<boost::asio::ip::tcp::endpoint>& seeds);

    /// Number of replicas heard of lately.
    std::size_t replicas_in_touch() const;

private:
    struct replica
    {
        time_point heard_at{};
        bool is_in_touch = false;
    };

    void add_replica(const vm_id& vm);
    void receive(const vm_id& from, std::string_view payload);
    void take_registrations(const vm_id& from, const directory::update& news);
    void take_orders(const directory::update& news);
    /// Keeps the orders of the news, if they are newer. Returns whether those
    /// kept are at least as new as the news.
    bool keep(const directory::update& news);
    /// Returns the document that the news tell of. Errors: corrupt.
    outcome<std::string> read_document(const directory::update& news) const;
    void tick();
    void schedule();
    void subscribe(const vm_id& vm);

    boost::asio::steady_timer m_timer;
    directory_callbacks m_callbacks;
    std::shared_ptr<wire::link_hub> m_hub;
    std::map<vm_id, replica> m_replicas;
    directory::registration_table m_table;
    /// Number of the last change of the table that was passed on.
    std::uint64_t m_passed_change = 0;
    /// The newest orders that any replica told. The first ones are in force
    /// only when a leader has said that they are the newest.
    fleet_orders m_orders;
    /// Index of the orders in force.
    std::uint64_t m_in_force = 0;
    /// Whether the next orders must come whole, as a change did not fit.
    bool m_wants_whole = false;
    bool m_closed = false;
};

} // namespace limpet::gateway
