#include "rollout_service.hpp"

#include <limpet/base/log.hpp>

#include <algorithm>
#include <vector>

namespace limpet::control
{

namespace
{

/// Interval between two decisions. A tenth of the shortest time in which a
/// rollback has to be in force.
constexpr duration decision_period = milliseconds(500);

} // namespace

rollout_service::rollout_service(const control_state& state,
                                 replica::replica& log,
                                 directory_feed& feed)
    : m_state(state),
      m_log(log),
      m_feed(feed)
{
}

void rollout_service::update(time_point now)
{
    if (now < m_next_update)
    {
        return;
    }
    m_next_update = now + decision_period;
    follow(now);
    if (!m_log.view().is_leader)
    {
        return;
    }
    for (const auto& [service, each] : m_followed)
    {
        if (!each.is_proposing)
        {
            advance(service, now);
        }
    }
}

duration rollout_service::known_for(const std::string& service,
                                    time_point now) const
{
    const auto found = m_followed.find(service);
    return found == m_followed.end() ? duration::zero()
                                     : now - found->second.known_since;
}

void rollout_service::follow(time_point now)
{
    std::vector<rollout::rollout_id> running;
    for (const auto& [service, record] : m_state.orders().rollouts)
    {
        if (!is_finished(record.current))
        {
            running.push_back(record.id);
        }
        const auto found = m_followed.find(service);
        if (found == m_followed.end() ||
            found->second.decisions.state().id != record.id)
        {
            m_followed.insert_or_assign(
                service, followed{rollout::controller(record, now), now});
            continue;
        }
        found->second.decisions.update(record, now);
    }
    m_feed.loads().retain_evidence(running);
}

void rollout_service::advance(const std::string& service, time_point now)
{
    const rollout::controller& decisions = m_followed.at(service).decisions;
    if (is_finished(decisions.state().current))
    {
        return;
    }
    const auto next = decisions.decide(situation_of(decisions.state()), now);
    if (next)
    {
        propose(service, *next);
    }
}

void rollout_service::propose(const std::string& service,
                              const rollout::decision& next)
{
    m_followed.at(service).is_proposing = true;
    directory::command order;
    order.kind = directory::command_kind::advance_rollout;
    order.step = next.step;
    m_log.propose(
        make_entry(order),
        [this, service, next](const outcome<replica::proposal_result>& done)
        {
            const auto found = m_followed.find(service);
            if (found != m_followed.end())
            {
                found->second.is_proposing = false;
            }
            const rollout::judgement& judged = next.judged;
            log_event(log_level::info,
                      "rollout.step",
                      {{"service", service},
                       {"rollout", next.step.id.get()},
                       {"phase", to_string(next.step.to)},
                       {"why", next.reason},
                       {"elapsed_ms", to_milliseconds(next.step.elapsed)},
                       {"verdict", to_string(judged.result)},
                       {"route", judged.route ? judged.route->get() : 0},
                       {"log_ratio", judged.log_ratio},
                       {"expected_rate", judged.expected_rate},
                       {"bad_rate", judged.bad_rate},
                       {"target_answers", judged.target.answers()},
                       {"target_failed", judged.target.failed},
                       {"target_slow", judged.target.slow},
                       {"other_answers", judged.others.answers()},
                       {"other_failed", judged.others.failed},
                       {"other_slow", judged.others.slow},
                       {"reason", is_ok(done) ? "" : error_of(done).message}});
        });
}

rollout::situation
rollout_service::situation_of(const rollout::record& state) const
{
    rollout::situation known;
    known.observed = m_feed.loads().evidence_of(state.id);
    const directory::load_counts loads = m_feed.loads().total();
    std::uint64_t superseded = 0;
    m_feed.registrations().for_each(
        [&](const directory::registration& each)
        {
            if (each.service != state.service)
            {
                return;
            }
            known.has_target_servers |=
                each.version == state.target &&
                each.state == directory::server_state::ready;
            if (state.superseded.contains(each.version))
            {
                superseded +=
                    directory::count_of(loads, directory::load_key_of(each.id));
            }
        });
    known.superseded_requests = superseded;
    return known;
}

} // namespace limpet::control
