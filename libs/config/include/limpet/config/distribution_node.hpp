/// \file
/// Router-side participant in the distribution of the configuration.

#pragma once

#include <limpet/base/random.hpp>
#include <limpet/base/units.hpp>
#include <limpet/config/config_log.hpp>
#include <limpet/config/config_publisher.hpp>
#include <limpet/config/distribution_message.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpet::config
{

/// Members that a router exchanges configuration messages with. Routers of a
/// data centre that have the same list select the same relay. While their lists
/// differ, several routers may act as relay, which costs only bandwidth.
struct distribution_topology
{
    data_centre_id data_centre;
    /// Live routers of the data centre, excluding this one.
    std::vector<vm_id> peers;
    /// Control replicas.
    std::vector<vm_id> controls;
};

/// Configuration adopted since the previous call of take_adopted(), to be
/// written to the disk.
struct adopted_changes
{
    /// The full configuration if it was replaced by a snapshot, otherwise null.
    /// The updates apply on top of it.
    view_ptr whole;
    /// Encoded changes in the order of their revisions.
    std::vector<std::string> updates;
    /// Position before the first change.
    position before;
};

/// Keeps a router's configuration up to date. One router of a data centre, the
/// relay, follows a control replica, and all other routers follow the relay. A
/// router temporarily excludes an upstream that does not respond and selects
/// another one. Each router also syncs with a control replica directly at a
/// fixed interval. The revision in force increases monotonically. Performs no
/// I/O; not thread-safe.
class distribution_node
{
public:
    distribution_node(vm_id self,
                      const distribution_settings& settings,
                      std::uint64_t seed);

    /// Adopts the configuration that was stored on the disk. Call before the
    /// first tick.
    void restore(view_ptr stored);

    /// Sets the peers and control replicas.
    void set_topology(const distribution_topology& topology);

    /// Handles a message from another VM and returns the messages to send.
    std::vector<outgoing_message> receive(const vm_id& from,
                                          const distribution_message& message,
                                          time_point now);

    /// Runs the timers and returns the messages to send. Call at least every
    /// 100 ms.
    std::vector<outgoing_message> tick(time_point now);

    /// Returns the configuration to serve. Returns null if the router has none,
    /// or while it waits for the responses to its initial syncs.
    view_ptr view() const;

    /// Returns the configuration and changes adopted since the previous call.
    adopted_changes take_adopted();

    /// Returns whether this router is the relay of its data centre.
    bool is_relay(time_point now) const;

    /// Returns the revisions in force in the data centre, based on the syncs
    /// that this router has received.
    force_report report(time_point now) const;

    /// Returns the last position that was refused because it belongs to a
    /// divergent history or an older generation, or nothing. An operator needs
    /// to investigate it.
    const std::optional<position>& refused() const noexcept
    {
        return m_refused;
    }

private:
    struct incoming_snapshot
    {
        vm_id from;
        position of;
        std::uint32_t count = 0;
        std::uint32_t received = 0;
        std::string bytes;
        time_point requested_at;
    };

    void handle_message(const vm_id& from,
                        const sync_message& message,
                        time_point now);
    void handle_message(const vm_id& from,
                        const updates_message& message,
                        time_point now);
    void handle_message(const vm_id& from,
                        const part_request& message,
                        time_point now);
    void handle_message(const vm_id& from,
                        const snapshot_part& message,
                        time_point now);

    void start(time_point now);
    void sync_with(const vm_id& to, bool ask, bool subscribe, time_point now);
    void sync_upstream(time_point now);
    void sync_control(time_point now);
    void send_reports(time_point now);
    void retry_part(time_point now);
    void request_part(const vm_id& from, time_point now);
    void install_snapshot(time_point now);
    void handle_adoption(adoption result,
                         const vm_id& from,
                         const position& received,
                         time_point now);
    void after_change(const vm_id& source, time_point now);
    void record_response(const vm_id& from, time_point now);
    std::optional<vm_id> select_upstream(time_point now) const;
    std::optional<vm_id> select_control(std::uint64_t first,
                                        time_point now) const;
    bool is_excluded(const vm_id& vm, time_point now) const;
    served_config served() const noexcept;
    std::optional<position> current_position() const;
    std::vector<outgoing_message> take_output();

    vm_id m_self;
    distribution_settings m_settings;
    random_source m_random;
    distribution_topology m_topology;
    /// Routers of the data centre in descending order of relay priority.
    std::vector<vm_id> m_relay_order;
    config_log m_log;
    config_publisher m_publisher;
    adopted_changes m_adopted;
    std::optional<position> m_refused;
    std::optional<incoming_snapshot> m_incoming_snapshot;
    /// Destinations of the initial syncs that have not responded yet.
    std::set<vm_id> m_pending_initial_syncs;
    /// The control replica that received the last direct sync.
    std::optional<vm_id> m_direct_replica;
    bool m_started = false;
    bool m_serving = false;
    time_point m_start;
    time_point m_next_sync;
    time_point m_next_direct;
    time_point m_next_report;
    time_point m_last_report;
    std::optional<force_report> m_sent_report;
    /// Time of the oldest unanswered sync to each VM.
    std::map<vm_id, time_point> m_unanswered;
    std::map<vm_id, time_point> m_excluded_until;
    std::vector<outgoing_message> m_out;
};

} // namespace limpet::config
