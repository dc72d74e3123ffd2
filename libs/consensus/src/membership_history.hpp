/// \file
/// Memberships of a group by the index of the log entry that set them.

#pragma once

#include <limpet/consensus/membership.hpp>

#include <utility>
#include <vector>

namespace limpet::consensus
{

/// Memberships that the entries of the log set. A membership is in force as
/// soon as its entry is appended to the log, and no longer if the entry is
/// replaced.
class membership_history
{
public:
    /// Discards all memberships and starts with the one in force at the index.
    void reset(log_index index, membership value);

    /// Adds the membership that the entry at the index sets.
    void add(log_index index, membership value);

    /// Removes memberships that were set after the index.
    void truncate_after(log_index index);

    /// Removes memberships that are in force neither at the index nor after it.
    void compact(log_index index);

    const membership& current() const;

    /// Returns the membership that the current one replaced, or the current one
    /// if no earlier one is stored.
    const membership& previous() const;

    /// Returns the index of the entry that set the current membership.
    log_index current_index() const;

    /// Returns the membership in force at the index, which must not be before
    /// the index of the last compact().
    const membership& at(log_index index) const;

private:
    std::vector<std::pair<log_index, membership>> m_entries{1};
};

} // namespace limpet::consensus
