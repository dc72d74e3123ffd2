#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/directory/load_peer.hpp>
#include <limpet/gateway/rollout_tracker.hpp>

#include <algorithm>
#include <utility>

namespace limpet::gateway
{

namespace
{

/// Interval between reports. With the replicas' two intervals of 100 ms and the
/// leader's of 500 ms, a fault is judged within 1.3 s.
constexpr duration report_period = milliseconds(500);
/// An answer is slow if it takes this multiple of the other versions' mean time
/// and this fraction of the latency objective: less does not harm callers, and
/// a version whose caches are cold is somewhat slower at first.
constexpr double slow_factor = 3;
constexpr double slow_objective_fraction = 0.5;
/// Weight (1/n) of the newest answer in the mean, once there are so many.
constexpr unsigned max_samples = 50;
/// Answers before which the mean is not used.
constexpr unsigned min_samples = 10;

} // namespace

rollout_tracker::rollout_tracker(double exposure_share,
                                 rollout::reporter_key reporter)
    : m_exposure_share(exposure_share),
      m_reporter(reporter)
{
}

void rollout_tracker::set(const rollout::record_map& rollouts, time_point now)
{
    std::vector<rollout::rollout_id> running;
    for (const auto& [service, record] : rollouts)
    {
        tracked_rollout& tracked =
            m_rollouts.try_emplace(service, m_exposure_share).first->second;
        if (tracked.record.id != record.id)
        {
            tracked.other_times.clear();
        }
        if (tracked.record.id != record.id ||
            tracked.record.current != record.current)
        {
            log_event(log_level::info,
                      "rollout.in_force",
                      {{"service", service},
                       {"rollout", record.id.get()},
                       {"target", record.target},
                       {"phase", to_string(record.current)}});
        }
        tracked.budget.update(record, now);
        tracked.record = record;
        if (!is_finished(record.current))
        {
            running.push_back(record.id);
        }
    }
    std::erase_if(m_rollouts,
                  [&rollouts](const auto& each)
                  {
                      return !rollouts.contains(each.first);
                  });
    std::erase_if(m_counts,
                  [&running](const auto& each)
                  {
                      return std::find(running.begin(),
                                       running.end(),
                                       std::get<rollout::rollout_id>(
                                           each.first)) == running.end();
                  });
    m_evidence.retain(running);
}

const tracked_rollout* rollout_tracker::find(const std::string& service) const
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

void rollout_tracker::on_sent(const std::string& service,
                              const std::string& version,
                              time_point now)
{
    const auto found = m_rollouts.find(service);
    if (found != m_rollouts.end())
    {
        found->second.budget.on_sent(version == found->second.record.target,
                                     now);
    }
}

void rollout_tracker::on_outcome(const std::string& service,
                                 const std::string& version,
                                 const attempt_report& report)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || is_finished(found->second.record.current))
    {
        return;
    }
    tracked_rollout& tracked = found->second;
    const bool is_target = version == tracked.record.target;
    const rollout::route_key route(stable_hash(report.route));
    tracked_rollout::mean_time& other = tracked.other_times[route];
    const double taken = to_seconds(report.first_event_time);
    const double expected = other.samples >= min_samples ? other.seconds : 0;
    const bool is_slow = !report.has_failed &&
                         taken > std::max(slow_factor * expected,
                                          slow_objective_fraction *
                                              to_seconds(report.objective));
    if (!is_target && !report.has_failed)
    {
        other.samples = std::min(other.samples + 1, max_samples);
        other.seconds += (taken - other.seconds) / other.samples;
    }
    const rollout::outcome_counts one{report.has_failed ? 0U : 1U,
                                      report.has_failed ? 1U : 0U,
                                      is_slow ? 1U : 0U};
    (is_target ? m_target_outcomes : m_other_outcomes) += one;
    rollout::outcome_counts& counts =
        m_counts[{tracked.record.id, route, is_target}];
    counts += one;
    m_evidence.merge({tracked.record.id, m_reporter, route, is_target, counts});
}

std::vector<rollout::evidence_row> rollout_tracker::take_changed(time_point now)
{
    if (now < m_next_report)
    {
        return {};
    }
    m_next_report = now + report_period;
    return m_evidence.take_changed(directory::max_evidence_rows);
}

void rollout_tracker::send_all_again()
{
    m_evidence.mark_all_changed();
}

} // namespace limpet::gateway
