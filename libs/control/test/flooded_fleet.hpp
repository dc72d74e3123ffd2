/// \file
/// Replicas of a control group with little processor time, and the routers,
/// backend servers and operator who call them, in simulated time.

#pragma once

#include "control_state.hpp"
#include "departure_intake.hpp"
#include "departure_recorder.hpp"
#include "directory_feed.hpp"
#include "simulated_process.hpp"

#include <limpet/base/random.hpp>
#include <limpet/consensus/node.hpp>

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpet::control
{

struct flood_options
{
    std::size_t replicas = 8;
    std::size_t routers = 58;
    /// Servers registered before the flood; they send heartbeats to replicas
    /// chosen at random.
    std::size_t known_servers = 100;
    /// Servers that register at one replica, the leader, within flood_time.
    std::size_t flood_servers = 40;
    duration flood_time = seconds(1);
    /// Of the known servers, those that are replaced from the flood on, one
    /// after the other within release_time: a new one registers, the former
    /// drains and leaves two seconds later.
    std::size_t replaced_servers = 0;
    duration release_time = seconds(4);
    /// Of the known servers, those that deregister at one replica within
    /// flood_time, and whether that is the leader.
    std::size_t leaving_servers = 0;
    bool leave_at_leader = true;
    /// Whether departures are recorded in the log before they are
    /// acknowledged.
    bool records_departures = true;
    /// Time of a write to the disk of each replica.
    duration disk_time = milliseconds(5);
    duration server_heartbeat_period = milliseconds(1200);
    /// Time between two configurations, from before the flood to after it.
    duration order_period = milliseconds(400);
    /// Length of a configuration; about half of it once compressed.
    std::size_t document_bytes = 8000;
    /// Whether a configuration has nothing in common with the one before.
    bool replaces_document = false;
    /// Whether all routers start again, with nothing, when the flood begins.
    bool restarts_routers = false;
    simulated_process::budget replica{0.06, 6e6};
    simulated_process::budget router{0.12, 10e6};
    std::size_t data_centres = 6;
    /// Percentage of the documents to pass on that reach no other router.
    std::uint64_t lost_forwards = 0;
    std::uint64_t seed = 1;
};

/// What the operator and the routers observed from the flood on.
struct flood_result
{
    std::size_t leader_changes = 0;
    /// Longest time without a leader that holds its lease.
    duration longest_leaderless{};
    /// Longest time from a configuration's first submission to its
    /// acknowledgement; those that have none count until the end.
    duration longest_acknowledgement{};
    /// Longest time from a server's registration until a router knows it.
    duration longest_unknown{};
    /// Longest time from a server's word that it drains or leaves until a
    /// router knows it.
    duration longest_draining{};
    /// Longest time from a deregistration to its acknowledgement, by whichever
    /// replica, and the number of refusals, after which a server turns to the
    /// next replica.
    duration longest_departure{};
    std::size_t refused_departures = 0;
    /// Longest time from the acknowledgement of a configuration until a router
    /// has it or a newer one.
    duration longest_outdated{};
    /// Time from the start of the routers until 95 of 100 have a configuration
    /// in force and know of half of the servers.
    duration recovered{};
    /// Frames and bytes that the replicas sent to routers and each other.
    std::size_t directory_frames = 0;
    std::size_t directory_bytes = 0;
};

/// Runs the real nodes and directory feeds.
///
/// Processor time is charged by the kinds and numbers of operations. The
/// prices were taken from control.delayed log lines of real replicas with 0.06
/// of a core.
class flooded_fleet
{
public:
    explicit flooded_fleet(const flood_options& options);
    ~flooded_fleet();

    /// Starts the fleet, floods it and returns what was observed.
    flood_result run();

private:
    struct replica_process;
    struct router_process;
    class simulated_hub;

    struct submitted_order
    {
        time_point at{};
        bool is_acknowledged = false;
        time_point acknowledged_at{};
        /// Its log index, 0 before it is committed.
        std::uint64_t index = 0;
    };

    struct known_server
    {
        directory::registration row;
        time_point reported_at{};
        std::size_t unaware_routers = 0;
        bool has_left = false;
        /// Routers that have not heard that it drains, since `draining_at`.
        std::set<std::size_t> uninformed;
        time_point draining_at{};
    };

    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    void start_replica(std::size_t index);
    void start_router(std::size_t index);
    void restart_routers();
    void record_recovery(const router_process& router);
    void tick(std::size_t replica);
    void step(std::size_t replica, consensus::event what);
    void execute(std::size_t replica, consensus::actions work);
    void apply(std::size_t replica, const consensus::actions& work);
    void send_consensus(std::size_t from, const consensus::message& content);
    void send_directory(std::size_t from,
                        const vm_id& to,
                        const std::string& payload);
    void send_to_router(std::size_t to,
                        const vm_id& from,
                        std::size_t size,
                        std::string payload);
    void receive_at_router(std::size_t router,
                           const vm_id& from,
                           const std::string& payload);
    void read_orders(std::size_t router,
                     std::size_t replica,
                     const directory::update& frame);
    static void apply_orders(router_process& self,
                             const directory::update& frame);
    void check_recovery(router_process& router);
    void forward_orders(std::size_t router,
                        const vm_id& replica,
                        const directory::update& frame);
    data_centre_id data_centre_of(std::size_t router) const;
    void subscribe(std::size_t router, std::size_t replica);
    void subscribe_periodically(std::size_t router);
    void send_loads_periodically(std::size_t router);
    void add_server(std::size_t replica);
    void make_recorder(std::size_t replica, const event_loop& loop);
    void send_call(std::size_t from,
                   const vm_id& to,
                   const wire::call_message& message);
    void take_departures(std::size_t replica,
                         const std::vector<directory::registration>& departed);
    void end_servers(std::size_t replica);
    void begin_departure(std::size_t server);
    void deregister(std::size_t replica, std::size_t server);
    void replace_servers();
    void replace_server(std::size_t server);
    void send_heartbeats(std::size_t server);
    void report(std::size_t replica, std::size_t server);
    void submit_periodically();
    void submit(std::uint64_t version);
    void observe_leader();
    void observe_routers();
    std::size_t leader() const;
    std::size_t random_below(std::size_t bound);
    duration latency();
    std::size_t index_of(const vm_id& vm) const;

    flood_options m_options;
    simulated_clock m_clock;
    random_source m_random;
    std::vector<std::unique_ptr<replica_process>> m_replicas;
    std::vector<std::unique_ptr<router_process>> m_routers;
    std::vector<std::unique_ptr<router_process>> m_ended_routers;
    std::vector<known_server> m_servers;
    std::vector<submitted_order> m_orders;
    bool m_is_flooded = false;
    /// Routers that have recovered from their restart.
    std::size_t m_recovered = 0;
    time_point m_last_lease{};
    std::size_t m_last_leader = none;
    flood_result m_result;
};

} // namespace limpet::control
