#include <limpet/rollout/controller.hpp>

#include <algorithm>
#include <utility>

namespace limpet::rollout
{

namespace
{

/// Fraction of a rollout's length for which the target is observed at least, so
/// that faults which appear late are seen while few requests are exposed. The
/// rest is for requests in flight at the other versions to end.
constexpr double min_observed_fraction = 0.5;
/// Fraction of the length after which a target that is not known to be good is
/// rolled back: the time left would not suffice to switch.
constexpr double max_observed_fraction = 0.65;
/// Time after the change to switching in which no rollout is completed: routers
/// learn of the change within it and move their requests.
constexpr duration min_switching_time = milliseconds(1500);
/// Longest time whose passage a change of leader can lose, as a fraction (1/n)
/// of the length, and at least the shortest interval between two commits.
constexpr int commits_per_length = 8;
constexpr duration min_commit_interval = seconds(1);

duration fraction_of(duration length, double fraction)
{
    return from_seconds(to_seconds(length) * fraction);
}

} // namespace

controller::controller(record state, time_point applied_at)
    : m_state(std::move(state)),
      m_applied_at(applied_at),
      m_phase_began(m_state.elapsed)
{
}

void controller::update(const record& state, time_point now)
{
    if (state == m_state)
    {
        return;
    }
    if (state.id != m_state.id || state.current != m_state.current)
    {
        m_phase_began = state.elapsed;
    }
    m_state = state;
    m_applied_at = now;
}

duration controller::elapsed(time_point now) const
{
    return m_state.elapsed + std::max(duration::zero(), now - m_applied_at);
}

std::optional<decision> controller::decide(const situation& known,
                                           time_point now) const
{
    if (is_finished(m_state.current))
    {
        return std::nullopt;
    }
    const duration passed = elapsed(now);
    const judgement judged = judge(known.observed);
    const auto decide_on = [&](phase to, std::string_view reason)
    {
        return decision{
            {m_state.service, m_state.id, to, passed}, reason, judged};
    };
    if (judged.result == verdict::bad)
    {
        return decide_on(phase::rolled_back, "target is bad");
    }
    if (m_state.current == phase::observing)
    {
        if (judged.result == verdict::good && known.has_target_servers &&
            passed >= fraction_of(m_state.length, min_observed_fraction))
        {
            return decide_on(phase::switching, "target is good");
        }
        if (passed >= fraction_of(m_state.length, max_observed_fraction))
        {
            return decide_on(phase::rolled_back, "too little evidence");
        }
    }
    else if (!known.has_target_servers)
    {
        return decide_on(phase::rolled_back, "target has no servers");
    }
    else if (passed >= m_phase_began + min_switching_time &&
             known.superseded_requests == 0U)
    {
        return decide_on(phase::completed, "no request at other versions");
    }
    if (passed >=
        m_state.elapsed +
            std::max(min_commit_interval, m_state.length / commits_per_length))
    {
        return decide_on(m_state.current, "time passed");
    }
    return std::nullopt;
}

} // namespace limpet::rollout
