#include "log_replay.hpp"

namespace limpet::storage
{

struct replay_visitor
{
    log_replay& replay;

    status operator()(const segment_header& header) const
    {
        return replay.apply_header(header);
    }

    status operator()(const hard_state& state) const
    {
        replay.m_hard = state;
        return success();
    }

    status operator()(const log_entry& entry) const
    {
        return replay.apply_entry(entry);
    }
};

log_replay::log_replay(log_index base, term_number base_term)
    : m_base(base),
      m_base_term(base_term),
      m_base_confirmed(base == log_index{})
{
}

status log_replay::apply(const record& next)
{
    return std::visit(replay_visitor{*this}, next);
}

bool log_replay::finish()
{
    if (!m_base_confirmed)
    {
        m_entries.clear();
    }
    return m_base_confirmed;
}

log_index log_replay::last() const
{
    return advance(m_base, m_entries.size());
}

void log_replay::truncate_after(log_index last)
{
    if (last <= m_base)
    {
        m_entries.clear();
        return;
    }
    const auto kept = last.get() - m_base.get();
    if (kept < m_entries.size())
    {
        m_entries.resize(kept);
    }
}

status log_replay::apply_header(const segment_header& header)
{
    m_hard = header.hard;
    truncate_after(header.last);
    if (header.base == m_base && header.base_term == m_base_term)
    {
        m_base_confirmed = true;
    }
    else if (header.last < m_base)
    {
        m_base_confirmed = false;
    }
    if (header.last > last())
    {
        return error{error_code::corrupt,
                     "log entries before the segment are missing"};
    }
    return success();
}

status log_replay::apply_entry(const log_entry& entry)
{
    if (entry.index <= m_base)
    {
        m_entries.clear();
        m_base_confirmed = entry.index == m_base && entry.term == m_base_term;
        return success();
    }
    if (entry.index > advance(last()))
    {
        return error{error_code::corrupt, "gap between log entries"};
    }
    truncate_after(previous(entry.index));
    m_entries.push_back(entry);
    return success();
}

} // namespace limpet::storage
