/// \file
/// Replicates a configuration and its changes to followers.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/config/distribution_message.hpp>
#include <limpet/config/state_machine.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpet::config
{

/// Intervals, timeouts and size limits of configuration distribution.
struct distribution_settings
{
    /// Interval between syncs with the upstream.
    duration sync_interval = seconds(2);
    /// Time without a response after which an upstream is excluded from
    /// selection, and time without a message after which a follower is
    /// removed.
    duration silence_timeout = seconds(6);
    /// Time for which an unresponsive upstream stays excluded.
    duration penalty = seconds(20);
    /// Interval at which each router syncs with a control replica directly.
    /// Bounds the staleness caused by a relay that responds but receives no
    /// changes itself.
    duration direct_interval = seconds(8);
    /// Time without a response to a direct sync after which the router tries
    /// another control replica.
    duration direct_timeout = seconds(2);
    /// Longest time that a starting router waits for the responses to its
    /// initial syncs before it serves the newest configuration that it has
    /// received.
    duration first_wait = seconds(2);
    /// Minimum interval between reports of a relay.
    duration report_interval = milliseconds(200);
    /// Interval between reports of a relay whose content has not changed.
    duration report_refresh = seconds(5);
    /// Time without a report after which a data centre is marked silent.
    duration report_timeout = seconds(12);
    /// Time after which an outstanding snapshot part is requested again.
    duration part_timeout = seconds(2);
    /// Size of a snapshot part.
    std::size_t part_bytes = std::size_t{256} * 1024;
    /// Number of changes that a router retains for its peers.
    std::size_t max_updates = 1024;
    /// Maximum number of changes in one message.
    std::size_t max_batch = 64;
};

/// The data that a publisher serves: the configuration in force, which is null
/// until one has been received, and the most recent changes that led to it.
struct served_config
{
    const view_ptr& view;
    const std::deque<history_entry>& history;
};

/// Brings followers up to date: sends the missing changes if they are still
/// retained, and otherwise a snapshot in parts. Used by control replicas, and
/// by each router to serve its peers. Performs no I/O; not thread-safe.
class config_publisher
{
public:
    explicit config_publisher(const distribution_settings& settings)
        : m_settings(settings)
    {
    }

    /// Handles a sync. Appends no message if the sender has the same or a newer
    /// configuration and did not request a response.
    void receive(const vm_id& from,
                 const sync_message& message,
                 const served_config& served,
                 time_point now,
                 std::vector<outgoing_message>& out);

    /// Handles a request for a part of a snapshot.
    void receive(const vm_id& from,
                 const part_request& message,
                 const served_config& served,
                 time_point now,
                 std::vector<outgoing_message>& out);

    /// Sends each subscriber the changes that it does not have yet. Call after
    /// each change.
    void publish(const served_config& served,
                 time_point now,
                 std::vector<outgoing_message>& out);

    /// Returns the position that the follower reported in its last message, or
    /// nothing if that message is older than the silence timeout.
    std::optional<position> position_of(const vm_id& vm, time_point now) const;

    /// Returns the newest position that any follower has reported, or nothing.
    /// On a control replica that has applied its log, this exceeds the
    /// replica's own position only after a restore from a backup without a new
    /// generation.
    const std::optional<position>& highest_heard() const noexcept
    {
        return m_highest_heard;
    }

private:
    struct follower
    {
        std::optional<position> have;
        /// Position that the follower reaches once it has received every
        /// message sent to it.
        std::optional<position> sent;
        time_point sent_at;
        bool subscribed = false;
        time_point last_seen;
    };
    struct encoded_snapshot
    {
        position of;
        time_point created_at;
        std::string bytes;
    };

    void send_missing(const vm_id& to,
                      follower& of,
                      const served_config& served,
                      time_point now,
                      std::vector<outgoing_message>& out);
    void update_highest_position(const std::optional<position>& have);
    void send_part(const vm_id& to,
                   std::uint32_t index,
                   std::vector<outgoing_message>& out) const;
    void refresh_snapshot(const served_config& served, time_point now);

    distribution_settings m_settings;
    std::map<vm_id, follower> m_followers;
    std::optional<encoded_snapshot> m_snapshot;
    std::optional<position> m_highest_heard;
};

} // namespace limpet::config
