#include <limpet/config/force_table.hpp>

#include <algorithm>

namespace limpet::config
{

void force_table::receive(const vm_id& relay,
                          const force_report& report,
                          time_point now)
{
    m_first_report = m_first_report.value_or(now);
    m_entries[report.data_centre] = {report, relay, now};
}

void force_table::forget(const data_centre_id& id)
{
    m_entries.erase(id);
}

force_summary force_table::summary(time_point now) const
{
    force_summary out;
    out.complete = m_first_report && *m_first_report + m_silence_timeout <= now;
    for (const auto& [id, each] : m_entries)
    {
        const bool first = out.data_centres.empty();
        out.lowest = first ? each.report.lowest
                           : std::min(out.lowest, each.report.lowest);
        out.data_centres.push_back(
            {each.report,
             each.relay,
             each.received_at + m_silence_timeout < now});
    }
    return out;
}

} // namespace limpet::config
