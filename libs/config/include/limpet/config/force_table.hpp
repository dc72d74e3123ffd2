/// \file
/// Where a revision is in force, as known at a control replica.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/config/distribution_message.hpp>

#include <map>
#include <optional>
#include <vector>

namespace limpet::config
{

/// State of one data centre in a force_table.
struct data_centre_force
{
    force_report report;
    /// VM of the relay that sent the report.
    vm_id relay;
    /// Whether no report came for longer than the silence timeout.
    bool silent = false;
};

/// Answer to whether a revision is in force everywhere.
struct force_summary
{
    /// Lowest revision in force over all data centres; 0 without a report.
    revision lowest;
    /// Whether reports have come for so long that each live relay must have
    /// sent one. False for a while after the start of a control replica.
    bool complete = false;
    std::vector<data_centre_force> data_centres;
};

/// Collects the relays' reports. Pure; not thread-safe.
class force_table
{
public:
    explicit force_table(duration silence_timeout)
        : m_silence_timeout(silence_timeout)
    {
    }

    void
    receive(const vm_id& relay, const force_report& report, time_point now);

    /// Forgets a data centre that was closed for good.
    void forget(const data_centre_id& id);

    /// Returns the state of all data centres ever heard of, silent ones with
    /// their last report.
    force_summary summary(time_point now) const;

private:
    struct entry
    {
        force_report report;
        vm_id relay;
        time_point heard;
    };

    duration m_silence_timeout;
    std::optional<time_point> m_first_report;
    std::map<data_centre_id, entry> m_entries;
};

} // namespace limpet::config
