/// \file
/// Rebuilds a log from the records of its segments.

#pragma once

#include "record_codec.hpp"

#include <limpet/base/outcome.hpp>

#include <optional>
#include <vector>

namespace limpet::storage
{

/// Applies the records of all segments in order and collects the entries after
/// the snapshot.
class log_replay
{
public:
    /// `base` and `base_term` are the index and the term of the snapshot, 0 if
    /// there is none.
    log_replay(log_index base, term_number base_term);

    /// Applies the next record. Errors: corrupt if there is a gap between
    /// entries.
    status apply(const record& next);

    /// Ends the replay. Returns whether the log confirmed that the collected
    /// entries continue the log that the snapshot covers, by matching index and
    /// term. Otherwise the entries are dropped.
    bool finish();

    const hard_state& hard() const noexcept
    {
        return m_hard;
    }

    std::vector<log_entry>& entries() noexcept
    {
        return m_entries;
    }

private:
    friend struct replay_visitor;

    status apply_header(const segment_header& header);
    status apply_entry(const log_entry& entry);
    log_index last() const;
    void truncate_after(log_index last);

    log_index m_base;
    term_number m_base_term;
    hard_state m_hard;
    std::vector<log_entry> m_entries;
    bool m_base_confirmed = false;
};

} // namespace limpet::storage
