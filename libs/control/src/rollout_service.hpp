/// \file
/// Advances the rollouts at the leader.

#pragma once

#include "control_state.hpp"
#include "directory_feed.hpp"

#include <limpet/replica/replica.hpp>
#include <limpet/rollout/controller.hpp>

#include <map>
#include <string>

namespace limpet::control
{

/// Follows the rollouts of the replicated state and proposes their next steps
/// while this replica leads. Every replica follows them, so that a new leader
/// knows how much of a rollout's time has passed. All references passed to the
/// constructor must outlive the service. Not thread-safe.
class rollout_service
{
public:
    rollout_service(const control_state& state,
                    replica::replica& log,
                    directory_feed& feed);

    /// Updates the rollouts and proposes steps. Call periodically; acts twice a
    /// second at most.
    void update(time_point now);

    /// Returns the time for which this replica has known the service's rollout,
    /// zero if it knows none.
    duration known_for(const std::string& service, time_point now) const;

private:
    struct followed
    {
        rollout::controller decisions;
        time_point known_since{};
        /// Whether a step has been proposed whose result is not known.
        bool is_proposing = false;
    };

    void follow(time_point now);
    void advance(const std::string& service, time_point now);
    void propose(const std::string& service, const rollout::decision& next);
    rollout::situation situation_of(const rollout::record& state) const;

    const control_state& m_state;
    replica::replica& m_log;
    directory_feed& m_feed;
    std::map<std::string, followed> m_followed;
    time_point m_next_update{};
};

} // namespace limpet::control
