/// \file
/// Nodes of a whole fleet with counted control traffic.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/membership/node.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpet::bench
{

/// Number and spread of routers and engines.
struct fleet_size
{
    std::size_t routers = 0;
    std::size_t regions = 0;
    std::size_t data_centres = 0;
    std::size_t engines = 0;
    std::size_t models = 0;
};

/// Control traffic and work of one router.
struct node_traffic
{
    std::array<std::uint64_t, membership::traffic_count> sent_bytes{};
    std::array<std::uint64_t, membership::traffic_count> received_bytes{};
    std::uint64_t messages = 0;

    std::uint64_t total_sent() const;
    std::uint64_t total_received() const;
};

/// Runs the nodes of a fleet on a clock set by hand. The first region runs
/// whole; of each other region, which the first meets only through exchanged
/// sums, one router and one engine for each model run. Messages take a
/// millisecond within a region and 30 ms between regions. Engines announce
/// themselves to the router that the last answer named.
class control_fleet
{
public:
    control_fleet(const fleet_size& size, std::uint64_t seed);

    void run(duration time);

    /// Ends a router's process without notice.
    void kill(std::size_t which);
    void leave(std::size_t which);
    void restart(std::size_t which);

    /// Starts a new process of the engine.
    void restart_engine(std::size_t which);
    void leave_engine(std::size_t which);

    /// Counts from now on.
    void reset_traffic();

    std::size_t routers() const noexcept
    {
        return m_routers.size();
    }

    const node_traffic& traffic_of(std::size_t which) const
    {
        return m_routers[which].traffic;
    }

    bool is_up(std::size_t which) const
    {
        return m_routers[which].process != nullptr;
    }

    std::size_t state_bytes(std::size_t which) const
    {
        return m_routers[which].process->state_bytes();
    }

    /// Returns the number of routers that still list the other as a member.
    std::size_t routers_listing(std::size_t other);

    /// Returns the number of routers by which the engine may get work.
    std::size_t routers_offering(std::size_t which);

    /// Returns the oldest age of the load of any model at any router.
    duration oldest_load();

    /// Returns the number of routers whose lists are complete.
    std::size_t complete_routers();

    std::size_t index_of_some_router(std::size_t region) const;
    std::size_t index_of_some_engine(std::size_t region) const;

private:
    struct router
    {
        membership::peer self;
        std::size_t region = 0;
        std::uint64_t starts = 0;
        std::unique_ptr<membership::node> process;
        node_traffic traffic;
        time_point next_tick;
    };

    struct engine
    {
        membership::announcement server;
        std::size_t region = 0;
        time_point next;
        std::optional<std::size_t> owner;
    };

    struct flight
    {
        std::size_t to = 0;
        membership::traffic kind = membership::traffic::membership;
        std::string bytes;
    };

    void start(std::size_t index);
    std::vector<membership::peer> seeds_of(std::size_t index) const;
    static bool
    is_run(const fleet_size& size, std::size_t index, std::size_t needed);
    void make_routers(const fleet_size& size);
    void make_engines(const fleet_size& size);
    void carry_out(std::size_t from, membership::actions todo);
    void deliver();
    void announce_due();
    void announce(engine& one);
    void set_load(const engine& one, std::uint32_t in_flight);
    std::size_t some_router_of(std::size_t region);
    std::size_t engines_in(std::size_t region) const;
    std::size_t routers_in(std::size_t region) const;

    time_point m_now{seconds(1000)};
    time_point m_next_announcements;
    random_source m_random;
    std::vector<router> m_routers;
    std::vector<engine> m_engines;
    std::unordered_map<std::string, std::size_t> m_by_vm;
    std::unordered_map<std::string, std::size_t> m_by_address;
    std::multimap<time_point, flight> m_flights;
};

} // namespace limpet::bench
