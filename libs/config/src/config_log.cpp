#include <limpet/config/config_log.hpp>

namespace limpet::config
{

namespace
{

/// Decodes a batch of changes that starts after `before` and verifies that they
/// are consecutive. Omits the changes up to the position in force after
/// verifying that their digest matches it.
outcome<std::vector<history_entry>>
decode_entries(position before,
               const std::vector<std::string>& entries,
               const position& in_force)
{
    std::vector<history_entry> out;
    for (const std::string& encoded : entries)
    {
        outcome<update> change = decode_update(encoded);
        if (!is_ok(change))
        {
            return error_of(change);
        }
        if (value_of(change).number.get() != before.number.get() + 1)
        {
            return error{error_code::malformed,
                         "update revisions are not consecutive"};
        }
        history_entry entry{value_of(std::move(change)), encoded, before};
        before = entry.after();
        const bool known = before.number <= in_force.number;
        if (before.number == in_force.number &&
            before.digest != in_force.digest)
        {
            return error{error_code::conflict,
                         "updates belong to a divergent history"};
        }
        if (!known)
        {
            out.push_back(std::move(entry));
        }
    }
    return out;
}

} // namespace

adoption config_log::adopt(const position& before,
                           const std::vector<std::string>& entries)
{
    if (m_view == nullptr)
    {
        return adoption::missing_changes;
    }
    const position in_force = m_view->where();
    if (before.group != in_force.group ||
        before.generation < in_force.generation)
    {
        return adoption::refused;
    }
    if (before.generation > in_force.generation ||
        before.number > in_force.number)
    {
        return adoption::missing_changes;
    }
    if (before.number == in_force.number && before.digest != in_force.digest)
    {
        return adoption::refused;
    }
    outcome<std::vector<history_entry>> decoded =
        decode_entries(before, entries, in_force);
    if (!is_ok(decoded))
    {
        return error_of(decoded).code == error_code::conflict
                   ? adoption::refused
                   : adoption::malformed;
    }
    std::vector<history_entry>& new_entries = value_of(decoded);
    if (new_entries.empty())
    {
        return adoption::unchanged;
    }
    auto next = std::make_shared<config_view>(*m_view);
    for (history_entry& each : new_entries)
    {
        next->apply(each.change, each.after());
        m_history.push_back(std::move(each));
    }
    while (m_history.size() > m_max_updates)
    {
        m_history.pop_front();
    }
    m_view = std::move(next);
    return adoption::adopted;
}

adoption config_log::adopt(view_ptr received)
{
    if (m_view != nullptr)
    {
        switch (compare(received->where(), m_view->where()))
        {
        case position_order::same:
        case position_order::older:
            return adoption::unchanged;
        case position_order::diverged:
            return adoption::refused;
        case position_order::newer:
            break;
        }
    }
    m_view = std::move(received);
    m_history.clear();
    return adoption::adopted;
}

} // namespace limpet::config
