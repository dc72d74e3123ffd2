/// \file
/// Simulated control replicas and routers with an in-memory network and a
/// simulated clock, for tests and benchmarks of the distribution.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/config/distribution_node.hpp>
#include <limpet/config/force_table.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace limpet::config::testing
{

/// Size of the simulated fleet, network delays and injected faults.
struct fleet_options
{
    std::uint64_t seed = 1;
    std::size_t controls = 3;
    std::size_t data_centres = 4;
    std::size_t routers_per_data_centre = 2;
    /// Routers in addition to the product of the two values above, assigned to
    /// the first data centres, one each.
    std::size_t extra_routers = 0;
    duration delay_within_data_centre = milliseconds(1);
    duration delay_between_data_centres = milliseconds(2);
    /// Number of data centres in each region.
    std::size_t data_centres_per_region = 4;
    duration delay_between_regions = milliseconds(2);
    /// Maximum lag of a control replica in applying a command.
    duration apply_delay = milliseconds(20);
    /// Probability that a message is lost.
    double loss = 0;
    /// Probability that a message is delivered twice.
    double duplication = 0;
    /// Probability that a message takes up to ten times the delay.
    double late = 0;
    distribution_settings settings;
};

/// Runs the production nodes, publishers and state machines in a simulation.
/// All messages are encoded and decoded; the byte counts include frame headers.
class fake_fleet
{
public:
    /// Returns whether messages from the first VM reach the second VM.
    using link_filter = std::function<bool(const vm_id&, const vm_id&)>;

    explicit fake_fleet(const fleet_options& options);

    /// Applies the command on all control replicas, on each after an individual
    /// random delay, and returns the result.
    command_result submit(const command& order);

    /// Sets the state of all control replicas to a copy of the given one.
    void load(const state_machine& state);

    /// Advances the simulated clock.
    void run(duration length);

    /// Sets which links deliver messages; by default all do.
    void set_links(link_filter works)
    {
        m_links = std::move(works);
    }

    /// Stops a router. Its peers see the changed topology after the delay.
    void stop_router(std::size_t index, duration noticed_after);

    /// Starts a stopped router, with or without its stored configuration.
    void start_router(std::size_t index, bool with_disk);

    std::size_t size() const noexcept
    {
        return m_routers.size();
    }

    const vm_id& name_of(std::size_t index) const
    {
        return m_routers[index].vm;
    }

    const data_centre_id& data_centre_of(const vm_id& vm) const
    {
        return m_data_centre_of.at(vm);
    }

    static vm_id control_name(std::size_t index);

    /// Returns the revision that the router serves; 0 if it serves none or is
    /// stopped.
    revision revision_of(std::size_t index) const;

    /// Returns the router's node, or null if it is stopped.
    const distribution_node* node_of(std::size_t index) const
    {
        return m_routers[index].node.get();
    }

    /// Returns the state after all submitted commands.
    const state_machine& state() const
    {
        return m_latest;
    }

    /// Returns the time from the submission of the revision until all running
    /// routers served it, or nothing if some router does not serve it yet.
    std::optional<duration> in_force_after(revision number) const;

    /// Returns the force summary of the control replica.
    force_summary summary_at(std::size_t index) const;

    /// Returns the number of bytes that a VM has sent or received.
    std::uint64_t sent_bytes(const vm_id& vm) const;
    std::uint64_t received_bytes(const vm_id& vm) const;

    time_point now() const noexcept
    {
        return m_now;
    }

    /// Returns how often a router changed to a position that was not newer than
    /// its previous one, including restarts with its stored configuration.
    /// Must be 0.
    std::size_t reverts() const noexcept
    {
        return m_reverts;
    }

private:
    struct router
    {
        vm_id vm;
        data_centre_id data_centre;
        std::unique_ptr<distribution_node> node;
        view_ptr disk;
        std::optional<position> last;
        std::uint64_t starts = 0;
    };
    struct control
    {
        state_machine state;
        config_publisher publisher;
        force_table force;
    };
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };
    struct traffic
    {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    void schedule(time_point when, std::function<void()> run);
    void send(const vm_id& from, const std::vector<outgoing_message>& messages);
    void deliver(const vm_id& from, const vm_id& to, const std::string& bytes);
    void deliver_to_control(std::size_t index,
                            const vm_id& from,
                            const distribution_message& message);
    duration delay_of(const vm_id& from, const vm_id& to);
    std::size_t region_of(const vm_id& vm) const;
    void tick();
    void record_position(router& of);
    void update_topology();

    fleet_options m_options;
    random_source m_random;
    link_filter m_links;
    time_point m_now;
    std::uint64_t m_event_count = 0;
    std::priority_queue<event> m_events;
    std::vector<router> m_routers;
    std::vector<control> m_controls;
    std::map<vm_id, std::size_t> m_router_index;
    std::map<vm_id, std::size_t> m_control_index;
    std::map<vm_id, data_centre_id> m_data_centre_of;
    std::map<vm_id, std::size_t> m_region_of;
    state_machine m_latest;
    std::uint64_t m_log_index = 0;
    std::map<revision, time_point> m_submitted_at;
    std::map<revision, time_point> m_served_everywhere_at;
    std::map<vm_id, traffic> m_traffic;
    std::size_t m_reverts = 0;
};

} // namespace limpet::config::testing
