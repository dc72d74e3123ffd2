/// \file
/// Sends a configuration and its changes to those who follow it.

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

/// Periods and sizes of the distribution.
struct distribution_settings
{
    /// Time between two syncs with the upstream.
    duration sync_interval = seconds(2);
    /// Time after which an upstream that does not answer is passed over, and
    /// a subscriber that is not heard is forgotten.
    duration silence_timeout = seconds(6);
    /// Time for which a silent upstream is passed over.
    duration penalty = seconds(20);
    /// Time between two syncs of each router with control itself. Bounds the
    /// delay by a relay that answers but gets no changes.
    duration direct_interval = seconds(8);
    /// Time after which another control replica is asked.
    duration direct_timeout = seconds(2);
    /// Longest wait for the first answers before a router serves the highest
    /// configuration that it has heard of.
    duration first_wait = seconds(2);
    /// Shortest time between two reports of a relay.
    duration report_interval = milliseconds(200);
    /// Time between two reports of a relay without a change.
    duration report_refresh = seconds(5);
    /// Time after which a data centre without a report counts as silent.
    duration report_timeout = seconds(12);
    /// Time after which a lost part of a snapshot is asked for again.
    duration part_timeout = seconds(2);
    std::size_t part_bytes = std::size_t{256} * 1024;
    /// Changes that a router keeps for its peers.
    std::size_t max_updates = 1024;
    /// Changes in one message.
    std::size_t max_batch = 64;
};

/// What a publisher serves: the configuration in force, which is null before
/// there is one, and the changes that led to it.
struct served_config
{
    const view_ptr& view;
    const std::deque<history_entry>& history;
};

/// Serves followers by changes where it has them and by a snapshot in parts
/// otherwise. Used by control replicas and, for its peers, by each router.
/// Pure; not thread-safe.
class config_publisher
{
public:
    explicit config_publisher(const distribution_settings& settings)
        : m_settings(settings)
    {
    }

    /// Answers a sync. Adds nothing if the sender has the same or a later
    /// configuration and did not ask.
    void receive(const vm_id& from,
                 const sync_message& message,
                 const served_config& served,
                 time_point now,
                 std::vector<outgoing_message>& out);

    /// Answers a request for a part of a snapshot.
    void receive(const vm_id& from,
                 const part_request& message,
                 const served_config& served,
                 time_point now,
                 std::vector<outgoing_message>& out);

    /// Sends the changes that subscribers do not have yet. Call after each
    /// change.
    void publish(const served_config& served,
                 time_point now,
                 std::vector<outgoing_message>& out);

    /// Returns what the follower had in force when it was heard last, or
    /// nothing if it was not heard lately.
    std::optional<position> position_of(const vm_id& vm, time_point now) const;

    /// Returns the highest position that a follower had, or nothing. At a
    /// control replica that has applied its log it is never above its own,
    /// but after a restore from a backup without a new generation.
    const std::optional<position>& highest_heard() const noexcept
    {
        return m_highest_heard;
    }

private:
    struct follower
    {
        std::optional<position> have;
        /// What it will have once it got all that was sent to it.
        std::optional<position> sent;
        time_point sent_at;
        bool subscribed = false;
        time_point heard;
    };
    struct encoded_snapshot
    {
        position of;
        time_point made;
        std::string bytes;
    };

    void send_missing(const vm_id& to,
                      follower& of,
                      const served_config& served,
                      time_point now,
                      std::vector<outgoing_message>& out);
    void note_heard(const std::optional<position>& have);
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
