#include "departure_intake.hpp"

#include "control_state.hpp"

#include <utility>

namespace limpet::control
{

namespace
{

departure_intake::departures
departures_after(const directory::departure_table& table, std::uint64_t index)
{
    departure_intake::departures result;
    table.for_each_after(
        index,
        [&result](const directory::departure_table::entry& each)
        {
            result.push_back(each.server);
        });
    return result;
}

} // namespace

departure_intake::departure_intake(std::function<log_position()> position)
    : m_position(std::move(position))
{
}

void departure_intake::restore(const directory::departure_table& snapshot)
{
    m_found = snapshot;
}

departure_intake::departures departure_intake::store(std::uint64_t index,
                                                     std::string_view entry)
{
    auto report = departures_in(entry);
    if (!report)
    {
        return {};
    }
    if (!m_is_started)
    {
        m_found.apply(index, *report);
        return {};
    }
    const log_position now = m_position();
    return now.is_voter || index > now.committed ? std::move(report->servers)
                                                 : departures();
}

departure_intake::departures departure_intake::start()
{
    m_is_started = true;
    return departures_after(std::exchange(m_found, {}), 0);
}

departure_intake::departures
departure_intake::apply(const directory::departure_table& applied)
{
    const std::uint64_t newest = applied.last_index();
    if (newest <= m_applied_index || !m_position().is_voter)
    {
        return {};
    }
    return departures_after(applied, std::exchange(m_applied_index, newest));
}

} // namespace limpet::control
