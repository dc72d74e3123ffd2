#include "reach_tracker.hpp"

#include <limpet/base/log.hpp>

namespace limpet::gateway
{

void reach_tracker::on_reached(const std::string& service,
                               const engine_id& server,
                               time_point sent_at)
{
    const auto found = m_records.find(service);
    if (found == m_records.end() || sent_at < found->second.unreached_at)
    {
        return;
    }
    if (!is_cut_off(service))
    {
        m_records.erase(found);
        return;
    }
    found->second.reached.insert(server);
    if (found->second.reached.size() >= reached_servers)
    {
        log_event(
            log_level::info, "service.reached_again", {{"service", service}});
        m_records.erase(found);
    }
}

void reach_tracker::on_unreached(const std::string& service,
                                 const engine_id& server,
                                 time_point now,
                                 bool is_of_other_data_centre)
{
    record& each = m_records[service];
    each.has_near = each.has_near || !is_of_other_data_centre;
    each.unreached_at = now;
    each.reached.clear();
    const bool was_cut_off = is_cut_off(service);
    each.unreached.insert(server);
    if (!was_cut_off && is_cut_off(service))
    {
        each.last_trial = now;
        log_event(log_level::warn,
                  "service.unreachable",
                  {{"service", service}, {"servers", each.unreached.size()}});
    }
}

bool reach_tracker::has_unreached(const std::string& service) const
{
    const auto found = m_records.find(service);
    return found != m_records.end() && found->second.has_near;
}

bool reach_tracker::is_cut_off(const std::string& service) const
{
    const auto found = m_records.find(service);
    return found != m_records.end() && found->second.has_near &&
           found->second.unreached.size() >= unreached_servers;
}

bool reach_tracker::try_begin_trial(const std::string& service,
                                    bool may_repeat,
                                    time_point now)
{
    const auto found = m_records.find(service);
    const duration interval =
        may_repeat ? trial_interval : single_trial_interval;
    if (!is_cut_off(service) || now < found->second.last_trial + interval)
    {
        return false;
    }
    found->second.last_trial = now;
    return true;
}

} // namespace limpet::gateway
