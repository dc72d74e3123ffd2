/// \file
/// Decides when a rollout advances.

#pragma once

#include <limpet/rollout/judge.hpp>
#include <limpet/rollout/record.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace limpet::rollout
{

/// What the leader knows of a running rollout.
struct situation
{
    evidence observed;
    /// Requests in flight at servers of the superseded versions; nothing if the
    /// number is not known.
    std::optional<std::uint64_t> superseded_requests;
    /// Whether a server of the target is ready.
    bool has_target_servers = false;
};

/// A step to propose, and why.
struct decision
{
    advance step;
    /// Short constant text for the log.
    std::string_view reason;
    judgement judged;
};

/// Decides on the steps of one rollout at the leader. Takes the time as an
/// argument; not thread-safe.
class controller
{
public:
    /// `applied_at` is when this replica learnt of the record's last step, or
    /// began to lead, whichever was later.
    controller(record state, time_point applied_at);

    /// Replaces the record after a step was applied.
    void update(const record& state, time_point now);

    const record& state() const noexcept
    {
        return m_state;
    }

    /// Returns the time since the order.
    duration elapsed(time_point now) const;

    /// Returns the step to propose now, if any: to another phase, or one that
    /// only commits the elapsed time.
    std::optional<decision> decide(const situation& known,
                                   time_point now) const;

private:
    record m_state;
    time_point m_applied_at;
    /// Elapsed time at which the current phase began.
    duration m_phase_began{};
};

} // namespace limpet::rollout
