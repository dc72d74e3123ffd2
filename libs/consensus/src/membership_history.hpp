/// \file
/// Memberships by the position of the entries that set them.

#pragma once

#include <limpet/consensus/membership.hpp>

#include <utility>
#include <vector>

namespace limpet::consensus
{

/// A membership is in force as soon as its entry is in the log, and no longer
/// when the entry is replaced.
class membership_history
{
public:
    /// Starts with the membership in force at the index.
    void reset(log_index index, membership value);

    /// Adds the membership that the entry at the index sets.
    void add(log_index index, membership value);

    /// Forgets memberships set after the index.
    void truncate_after(log_index index);

    /// Forgets memberships that are not in force at the index or after it.
    void compact(log_index index);

    const membership& current() const;

    /// Returns the membership that the current one replaced, or the current
    /// one if there is none before.
    const membership& former() const;

    /// Returns the index of the entry that set the current membership.
    log_index current_index() const;

    /// Returns the membership in force at the index, which must not be before
    /// the one of the last compact().
    const membership& at(log_index index) const;

private:
    std::vector<std::pair<log_index, membership>> m_entries{1};
};

} // namespace limpet::consensus
