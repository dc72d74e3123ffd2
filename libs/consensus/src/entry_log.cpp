#include "entry_log.hpp"

namespace limpet::consensus
{

entry_log::entry_log(log_index base,
                     term_number base_term,
                     std::vector<storage::log_entry> entries)
    : m_base(base),
      m_base_term(base_term),
      m_entries(std::make_move_iterator(entries.begin()),
                std::make_move_iterator(entries.end()))
{
}

log_index entry_log::last() const
{
    return advance(m_base, m_entries.size());
}

term_number entry_log::last_term() const
{
    return m_entries.empty() ? m_base_term : m_entries.back().term;
}

std::optional<term_number> entry_log::term_at(log_index index) const
{
    if (index < m_base || index > last())
    {
        return std::nullopt;
    }
    return index == m_base ? m_base_term : at(index).term;
}

const storage::log_entry& entry_log::at(log_index index) const
{
    return m_entries[index.get() - m_base.get() - 1];
}

void entry_log::append(storage::log_entry entry)
{
    m_entries.push_back(std::move(entry));
}

void entry_log::truncate_after(log_index index)
{
    if (index < last())
    {
        m_entries.resize(index.get() - m_base.get());
    }
}

void entry_log::compact(log_index index)
{
    if (index <= m_base)
    {
        return;
    }
    m_base_term = at(index).term;
    const auto count = index.get() - m_base.get();
    const auto end = m_entries.begin() + static_cast<std::ptrdiff_t>(count);
    m_entries.erase(m_entries.begin(), end);
    m_base = index;
}

void entry_log::reset(log_index base, term_number base_term)
{
    m_entries.clear();
    m_base = base;
    m_base_term = base_term;
}

std::vector<storage::log_entry> entry_log::slice(log_index from,
                                                 std::size_t bytes) const
{
    std::vector<storage::log_entry> result;
    std::size_t total = 0;
    for (auto index = from; index <= last(); index = advance(index))
    {
        const storage::log_entry& entry = at(index);
        total += entry.data.size();
        if (!result.empty() && total > bytes)
        {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

} // namespace limpet::consensus
