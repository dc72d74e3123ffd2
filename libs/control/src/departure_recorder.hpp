/// \file
/// Records departures of backend servers in the replicated log.

#pragma once

#include "event_loop.hpp"

#include <limpet/directory/departures.hpp>
#include <limpet/replica/replica.hpp>
#include <limpet/wire/call_message.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpet::control
{

/// The leader of the group as a replica knows it.
struct known_leader
{
    /// Empty if no leader is known.
    vm_id vm;
    replica::term_number term;
    bool is_self = false;
};

/// Functions of the surrounding replica that the recorder calls.
struct recorder_callbacks
{
    std::function<known_leader()> leader;
    /// Proposes an entry to the log; see replica::propose().
    std::function<void(std::string, replica::proposal_callback)> propose;
    /// Sends a call or a reply to another replica.
    std::function<status(const vm_id&, const wire::call_message&)> send;
    /// Returns the departures that this replica has applied.
    std::function<const directory::departure_table&()> recorded;
    /// Returns the servers that this replica knows.
    std::function<const directory::registration_table&()> servers;
    /// Returns the Unix time in milliseconds.
    std::function<std::uint64_t()> unix_ms;
};

/// Numbers of departures since the start.
struct departure_counts
{
    /// Acknowledged: a majority of the group has stored them.
    std::uint64_t recorded = 0;
    /// Answered with an error, as they could not be recorded in time.
    std::uint64_t failed = 0;
};

/// Returns why a deregistration of a server that has started again is refused.
error started_again();

/// Records departures in the log through the leader. Departures that arrive
/// while others are on their way form one entry, so that a flood of them takes
/// few writes. Not thread-safe.
class departure_recorder
{
public:
    using callback = std::function<void(status)>;

    departure_recorder(event_loop loop, recorder_callbacks callbacks);

    /// Calls back once a majority of the group has stored the departure, at
    /// most answer_timeout later. A server that is gone and has no time of its
    /// start is one that this replica does not know, or knows to be gone; the
    /// leader may know a later start. Errors: unavailable if it is unknown
    /// whether the departure is recorded; conflict if it may be one of another
    /// start of the server.
    void record(directory::registration departure, callback done);

    /// Handles the departures that another replica asks this one to record.
    void receive(const vm_id& from, const wire::call& request);

    /// Handles the leader's reply.
    void receive(const wire::reply& answer);

    /// Handles the loss of the link to the peer.
    void on_lost(const vm_id& peer);

    /// Lets the group forget departures that are older than any late message.
    /// Call periodically.
    void update();

    /// Answers all departures that wait, and takes no more.
    void stop();

    departure_counts counts() const noexcept
    {
        return m_counts;
    }

private:
    struct waiting_departure
    {
        directory::registration departure;
        callback done;
        time_point deadline{};
    };

    /// Departures on their way to the log.
    struct batch
    {
        std::uint64_t id = 0;
        known_leader to;
        time_point sent_at{};
        std::vector<waiting_departure> waiting;
    };

    /// The departures of a batch that are refused, as their servers have
    /// started again; all others are recorded.
    using batch_result = outcome<std::vector<directory::registration>>;
    using batch_callback = std::function<void(const batch_result&)>;

    void schedule();
    void step();
    void expire(time_point now);
    void send_batch(time_point now);
    std::vector<waiting_departure> take_next();
    void return_batch();
    void complete(std::uint64_t id, const batch_result& result);
    void complete(const batch& ended,
                  const std::vector<directory::registration>& refused);
    /// As the leader, proposes the departures that are not recorded yet.
    void commit(directory::departure_report report, const batch_callback& done);
    /// Removes the departures that are refused, and returns them.
    std::vector<directory::registration>
    take_refused(std::vector<directory::registration>& departures) const;
    /// Returns whether the server may have meant another of its starts.
    bool
    may_be_of_another_start(const directory::registration& departure) const;
    /// Determines the start that leaves, if the replica that the server has
    /// reported to does not know it.
    void resolve(directory::registration& departure) const;
    /// Returns whether departures can probably not be recorded in time.
    bool is_refusing(time_point now);
    known_leader find_leader(time_point now);
    void fail(std::vector<waiting_departure> failed, const error& reason);
    void note_recorded_index(time_point now);

    event_loop m_loop;
    recorder_callbacks m_callbacks;
    std::deque<waiting_departure> m_queue;
    std::optional<batch> m_batch;
    std::uint64_t m_last_id;
    bool m_is_scheduled = false;
    time_point m_leader_known_at;
    /// Term whose leader did not reply in time, and until when nothing is sent
    /// to it.
    replica::term_number m_silent_term;
    time_point m_silent_until{};
    /// The newest recorded index at times within the retention, the newest of
    /// them, and the newest from before.
    std::deque<std::pair<time_point, std::uint64_t>> m_recorded;
    std::uint64_t m_noted_index = 0;
    std::uint64_t m_expired_index = 0;
    time_point m_next_forgetting{};
    departure_counts m_counts;
    /// Cleared by stop(); delayed calls hold it weakly.
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
};

} // namespace limpet::control
