/// \file
/// In-memory log entries of a node.

#pragma once

#include <limpet/consensus/membership.hpp>
#include <limpet/storage/records.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace limpet::consensus
{

/// Contiguous log entries after a base position. The entries up to the base are
/// compacted.
class entry_log
{
public:
    entry_log(log_index base,
              term_number base_term,
              std::vector<storage::log_entry> entries);

    log_index base() const noexcept
    {
        return m_base;
    }

    log_index last() const;
    term_number last_term() const;

    /// Returns the term of the entry at the index, which may be the base.
    /// Returns nothing if the index is outside the log.
    std::optional<term_number> term_at(log_index index) const;

    /// Returns the entry at the index, which must be after the base and not
    /// after last().
    const storage::log_entry& at(log_index index) const;

    void append(storage::log_entry entry);

    /// Removes all entries after the index.
    void truncate_after(log_index index);

    /// Removes all entries up to the index, which becomes the base.
    void compact(log_index index);

    /// Removes all entries and continues after the given base.
    void reset(log_index base, term_number base_term);

    /// Returns consecutive entries from the index on with at most the given
    /// number of bytes in total, but at least one entry if there is one.
    std::vector<storage::log_entry> slice(log_index from,
                                          std::size_t bytes) const;

private:
    log_index m_base;
    term_number m_base_term;
    std::deque<storage::log_entry> m_entries;
};

} // namespace limpet::consensus
