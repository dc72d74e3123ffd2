/// \file
/// A router's bound on the requests that it sends to a rollout's target.

#pragma once

#include <limpet/rollout/record.hpp>

#include <cstddef>
#include <cstdint>

namespace limpet::rollout
{

/// Where a request of a service with a rollout goes first. Without a server
/// that can take it there, the other side may serve it where `may_overflow`.
struct side_choice
{
    bool prefers_target = false;
    bool may_overflow = true;
};

/// Bounds the target's requests as a share of the service's requests that this
/// router has sent. The bound holds for the sum over all routers because it
/// holds for each, whatever they know of each other. Takes the time as an
/// argument; not thread-safe.
class exposure_budget
{
public:
    /// `share` is the largest share of a service's requests that a target may
    /// get before it was found to be good.
    explicit exposure_budget(double share);

    /// Handles a step of the rollout that this router learnt of. A record with
    /// another id begins with an empty budget.
    void update(const record& state, time_point now);

    /// Returns which side a request is to be sent to. `draw` is uniform over
    /// all values and selects requests while the traffic is switched.
    /// `is_in_touch` tells whether a replica was heard from recently.
    side_choice
    choose(std::uint64_t draw, bool is_in_touch, time_point now) const;

    /// Returns whether the target may be sent a request now, also one that
    /// resumes a stream which began there.
    bool may_use_target() const;

    /// Records that a request was sent to a server of the service.
    void on_sent(bool to_target, time_point now);

    /// Returns how many of the target's servers to use, so that each bears
    /// about what a server of the other versions bears.
    std::size_t target_servers(std::size_t ready, time_point now) const;

private:
    double share(time_point now) const;

    double m_max_share;
    record m_state;
    double m_tokens = 0;
    time_point m_phase_learnt_at{};
};

} // namespace limpet::rollout
