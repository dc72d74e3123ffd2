#include <limpet/base/hash.hpp>
#include <limpet/gateway/server_pool.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace
{

/// Time without a message of a replica after which this router may have missed
/// the end of a rollout: less than half of the time in which a rollback has to
/// be in force.
constexpr duration max_rollout_silence = seconds(2);
/// Time for which a server of a version that is not recorded gets no requests
/// while others can serve. A version is recorded after an order for its
/// rollout, so this router then knows the rollout. Without a leader, nothing is
/// recorded.
constexpr duration max_unrecorded_time = seconds(5);

} // namespace

void server_pool::enable_rollouts(double exposure_share,
                                  rollout::reporter_key reporter)
{
    m_rollouts.emplace(exposure_share, reporter);
}

void server_pool::set_rollouts(const rollout::record_map& rollouts,
                               time_point now)
{
    if (m_rollouts)
    {
        m_rollouts->set(rollouts, now);
    }
}

void server_pool::on_outcome(const engine_id& id,
                             const attempt_report& report,
                             time_point sent_at)
{
    const auto found = m_servers.find(id);
    // A cold server is slow whatever its version.
    if (m_rollouts && found != m_servers.end() &&
        found->second.registration.cold_until <= sent_at)
    {
        m_rollouts->on_outcome(found->second.registration.service,
                               found->second.registration.version,
                               report);
    }
}

/// Returns the servers whose versions are recorded, or all if there are none.
std::vector<server_pool::server_record*>
server_pool::with_recorded_versions(std::vector<server_record*> candidates,
                                    time_point now) const
{
    const auto first_unrecorded = std::stable_partition(
        candidates.begin(),
        candidates.end(),
        [this, now](const server_record* each)
        {
            return m_recorded_versions.is_possible(each->service,
                                                   each->version) ||
                   each->known_since + max_unrecorded_time <= now;
        });
    if (first_unrecorded != candidates.begin())
    {
        candidates.erase(first_unrecorded, candidates.end());
    }
    return candidates;
}

/// Returns the first servers of the target by hash, as many as the rollout uses
/// now. All routers use the same ones.
std::vector<server_pool::server_record*>
server_pool::used_target_servers(std::vector<server_record*> target,
                                 const rollout::exposure_budget& budget,
                                 time_point now)
{
    std::sort(target.begin(),
              target.end(),
              [](const server_record* a, const server_record* b)
              {
                  return a->start_key < b->start_key;
              });
    target.resize(budget.target_servers(target.size(), now));
    return target;
}

/// Returns the groups of servers that may take the request, in the order in
/// which they are to be tried.
server_pool::server_groups
server_pool::rollout_groups(const std::vector<server_record*>& candidates,
                            const server_query& query,
                            time_point now)
{
    const std::vector<server_record*> recorded =
        with_recorded_versions(candidates, now);
    const tracked_rollout* running = m_rollouts->find(query.service);
    if (running == nullptr)
    {
        return {recorded};
    }
    std::vector<server_record*> target;
    std::vector<server_record*> others;
    std::vector<server_record*> not_superseded;
    for (server_record* each : recorded)
    {
        const std::string& version = each->registration.version;
        const bool is_target = version == running->record.target;
        (is_target ? target : others).push_back(each);
        if (!running->record.superseded.contains(version))
        {
            not_superseded.push_back(each);
        }
    }
    switch (running->record.current)
    {
    case rollout::phase::completed:
        return {not_superseded.empty() ? recorded : not_superseded};
    case rollout::phase::rolled_back:
        return {others};
    case rollout::phase::observing:
    case rollout::phase::switching:
        break;
    }
    target = running->budget.may_use_target()
                 ? used_target_servers(std::move(target), running->budget, now)
                 : std::vector<server_record*>();
    const bool is_in_touch = now < m_load_peer_heard_at + max_rollout_silence;
    const rollout::side_choice choice =
        running->budget.choose(query.draw, is_in_touch, now);
    if (!is_in_touch)
    {
        return {others.empty() ? target : others};
    }
    const bool may_overflow = choice.may_overflow || target.empty();
    if (choice.prefers_target)
    {
        return may_overflow ? server_groups{target, others}
                            : server_groups{target};
    }
    // While the target is observed, its share is not exceeded for lack of
    // capacity at the other versions.
    const bool is_switching =
        running->record.current == rollout::phase::switching;
    return is_switching || others.empty() ? server_groups{others, target}
                                          : server_groups{others};
}

} // namespace limpet::gateway
