/// \file
/// Revisions in force in each data centre, tracked by a control replica.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/config/distribution_message.hpp>

#include <map>
#include <optional>
#include <vector>

namespace limpet::config
{

/// Last report of one data centre.
struct data_centre_force
{
    force_report report;
    /// VM of the relay that sent the report.
    vm_id relay;
    /// Whether the last report is older than the silence timeout.
    bool silent = false;
};

/// Revisions in force in all data centres.
struct force_summary
{
    /// Lowest revision in force in any data centre; 0 if no report has been
    /// received.
    revision lowest;
    /// Whether at least the silence timeout has passed since the first report,
    /// so that every live relay has had time to report. False after the start
    /// of a control replica until then.
    bool complete = false;
    std::vector<data_centre_force> data_centres;
};

/// Collects the reports of the relays. Performs no I/O; not thread-safe.
class force_table
{
public:
    explicit force_table(duration silence_timeout)
        : m_silence_timeout(silence_timeout)
    {
    }

    void
    receive(const vm_id& relay, const force_report& report, time_point now);

    /// Removes a data centre that has been closed permanently.
    void forget(const data_centre_id& id);

    /// Returns the last report of every data centre that has ever reported,
    /// including those that are silent.
    force_summary summary(time_point now) const;

private:
    struct entry
    {
        force_report report;
        vm_id relay;
        time_point received_at;
    };

    duration m_silence_timeout;
    std::optional<time_point> m_first_report;
    std::map<data_centre_id, entry> m_entries;
};

} // namespace limpet::config
