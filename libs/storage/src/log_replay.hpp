/// \file
/// Rebuilds a log from the records of its segments.

#pragma once

#include "record_codec.hpp"

#include <limpet/base/outcome.hpp>

#include <optional>
#include <vector>

namespace limpet::storage
{

/// Takes the records of all segments in order and keeps the entries after
/// the snapshot.
class log_replay
{
public:
    /// Takes the position of the snapshot, 0 if there is none.
    log_replay(log_index base, term_number base_term);

    /// Takes the next record. Fails on a gap between entries.
    status apply(const record& next);

    /// Returns whether the log up to the snapshot is known to be the one that
    /// the entries after it continue. If not, they are dropped.
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
