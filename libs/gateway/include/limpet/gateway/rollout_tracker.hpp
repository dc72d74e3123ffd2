/// \file
/// A router's view of the rollouts, and the outcomes that it counts for them.

#pragma once

#include <limpet/rollout/evidence.hpp>
#include <limpet/rollout/exposure.hpp>
#include <limpet/rollout/record.hpp>

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace limpet::gateway
{

/// How an attempt ended, as evidence for or against the server's version.
struct attempt_report
{
    /// Name of the request's route.
    std::string route;
    /// Whether the server gave a complete error response.
    bool has_failed = false;
    /// Time from sending the request to the first event, or to the end of a
    /// response without events.
    duration first_event_time{};
    /// The route's latency objective.
    duration objective{};
};

/// The rollout of one service at this router.
struct tracked_rollout
{
    explicit tracked_rollout(double exposure_share)
        : budget(exposure_share)
    {
    }

    rollout::record record;
    rollout::exposure_budget budget;
    /// Mean time to the first event at the other versions, by route.
    struct mean_time
    {
        double seconds = 0;
        unsigned samples = 0;
    };
    std::map<rollout::route_key, mean_time> other_times;
};

/// Follows the rollouts of all services. Takes the time as an argument; not
/// thread-safe.
class rollout_tracker
{
public:
    /// `exposure_share` is the largest share of a service's requests that goes
    /// to a target before it was found to be good.
    rollout_tracker(double exposure_share, rollout::reporter_key reporter);

    /// Replaces the rollouts by those of newer orders.
    void set(const rollout::record_map& rollouts, time_point now);

    /// Returns the service's rollout, or null.
    const tracked_rollout* find(const std::string& service) const;

    /// Records that a request was sent to a server of the version.
    void on_sent(const std::string& service,
                 const std::string& version,
                 time_point now);

    /// Counts the outcome of an attempt at a server of the version.
    void on_outcome(const std::string& service,
                    const std::string& version,
                    const attempt_report& report);

    /// Returns the counters to send, if some have increased and the last ones
    /// were sent an interval ago.
    std::vector<rollout::evidence_row> take_changed(time_point now);

    /// Has all counters sent again, as the receiver has changed.
    void send_all_again();

    /// Returns what was counted of running rollouts since the start.
    const rollout::outcome_counts& target_outcomes() const noexcept
    {
        return m_target_outcomes;
    }

    const rollout::outcome_counts& other_outcomes() const noexcept
    {
        return m_other_outcomes;
    }

private:
    /// Rollout, route, and whether the target's outcomes are counted.
    using count_key = std::tuple<rollout::rollout_id, rollout::route_key, bool>;

    double m_exposure_share;
    rollout::reporter_key m_reporter;
    std::map<std::string, tracked_rollout> m_rollouts;
    /// Counters of this router alone.
    rollout::evidence_table m_evidence;
    std::map<count_key, rollout::outcome_counts> m_counts;
    rollout::outcome_counts m_target_outcomes;
    rollout::outcome_counts m_other_outcomes;
    time_point m_next_report{};
};

} // namespace limpet::gateway
