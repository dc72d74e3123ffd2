#include <limpet/rollout/evidence.hpp>

#include <algorithm>

namespace limpet::rollout
{

namespace
{

/// Raises the counter to the other one if that is higher. Returns whether it
/// was.
bool raise(std::uint32_t& counter, std::uint32_t other)
{
    const bool is_higher = other > counter;
    counter = std::max(counter, other);
    return is_higher;
}

} // namespace

outcome_counts& outcome_counts::operator+=(const outcome_counts& other) noexcept
{
    served += other.served;
    failed += other.failed;
    slow += other.slow;
    return *this;
}

bool evidence_table::merge(const evidence_row& row)
{
    const row_key key{row.rollout, row.reporter, row.route, row.is_target};
    if (m_rows.size() >= max_rows && !m_rows.contains(key))
    {
        return false;
    }
    row_state& state = m_rows[key];
    const bool has_served = raise(state.counts.served, row.counts.served);
    const bool has_failed = raise(state.counts.failed, row.counts.failed);
    const bool has_slow = raise(state.counts.slow, row.counts.slow);
    const bool has_increased = has_served || has_failed || has_slow;
    if (has_increased && state.change == 0)
    {
        state.change = ++m_changes;
    }
    return has_increased;
}

std::vector<evidence_row> evidence_table::take_changed(std::size_t limit)
{
    std::vector<std::pair<const row_key, row_state>*> changed;
    for (auto& each : m_rows)
    {
        if (each.second.change != 0)
        {
            changed.push_back(&each);
        }
    }
    std::sort(changed.begin(),
              changed.end(),
              [](const auto* a, const auto* b)
              {
                  return a->second.change < b->second.change;
              });
    changed.resize(std::min(changed.size(), limit));
    std::vector<evidence_row> rows;
    rows.reserve(changed.size());
    for (auto* each : changed)
    {
        const auto& [rollout, reporter, route, is_target] = each->first;
        rows.push_back(
            {rollout, reporter, route, is_target, each->second.counts});
        each->second.change = 0;
    }
    return rows;
}

std::vector<evidence_row> evidence_table::rows() const
{
    std::vector<evidence_row> result;
    result.reserve(m_rows.size());
    for (const auto& [key, state] : m_rows)
    {
        const auto& [rollout, reporter, route, is_target] = key;
        result.push_back({rollout, reporter, route, is_target, state.counts});
    }
    return result;
}

void evidence_table::mark_all_changed()
{
    for (auto& [key, state] : m_rows)
    {
        state.change = state.change == 0 ? ++m_changes : state.change;
    }
}

evidence evidence_table::sum(rollout_id rollout) const
{
    evidence sums;
    for (const auto& [key, state] : m_rows)
    {
        if (std::get<rollout_id>(key) != rollout)
        {
            continue;
        }
        route_evidence& route = sums[std::get<route_key>(key)];
        (std::get<bool>(key) ? route.target : route.others) += state.counts;
    }
    return sums;
}

void evidence_table::retain(const std::vector<rollout_id>& running)
{
    std::erase_if(m_rows,
                  [&running](const auto& each)
                  {
                      return std::find(running.begin(),
                                       running.end(),
                                       std::get<rollout_id>(each.first)) ==
                             running.end();
                  });
}

} // namespace limpet::rollout
