#include "membership_history.hpp"

namespace limpet::consensus
{

void membership_history::reset(log_index index, membership value)
{
    m_entries.clear();
    add(index, std::move(value));
}

void membership_history::add(log_index index, membership value)
{
    m_entries.emplace_back(index, std::move(value));
}

void membership_history::truncate_after(log_index index)
{
    while (m_entries.size() > 1 && m_entries.back().first > index)
    {
        m_entries.pop_back();
    }
}

void membership_history::compact(log_index index)
{
    while (m_entries.size() > 1 && m_entries[1].first <= index)
    {
        m_entries.erase(m_entries.begin());
    }
}

const membership& membership_history::current() const
{
    return m_entries.back().second;
}

const membership& membership_history::previous() const
{
    const auto position = m_entries.size() < 2 ? 0 : m_entries.size() - 2;
    return m_entries[position].second;
}

log_index membership_history::current_index() const
{
    return m_entries.back().first;
}

const membership& membership_history::at(log_index index) const
{
    auto found = m_entries.rbegin();
    while (std::next(found) != m_entries.rend() && found->first > index)
    {
        ++found;
    }
    return found->second;
}

} // namespace limpet::consensus
