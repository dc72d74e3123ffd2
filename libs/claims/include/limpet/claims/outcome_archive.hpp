/// \file
/// Compact record of finished requests whose full answers are no longer kept.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/claims/claim_key.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace limpet::claims
{

/// The retained part of a finished request.
struct archived_outcome
{
    claim_key key;
    std::uint64_t fingerprint = 0;
    std::uint16_t status = 0;
    /// Whether an outcome was recorded.
    bool known = false;
    /// Whether the slot of the hash table is occupied.
    bool is_occupied = false;
};

/// Set of outcomes, partitioned into slices of time. Each slice is a hash table
/// of 32-byte slots that is dropped at once when it expires. The memory size
/// depends only on the number of outcomes in each slice, so that replicas agree
/// on it. Not thread-safe.
class outcome_archive
{
public:
    /// Keeps each outcome for at least the period and at most one slice longer.
    explicit outcome_archive(milliseconds period);

    /// Adds an outcome whose period starts at the given time. Times must not
    /// decrease by more than the length of a slice.
    void add(const archived_outcome& value, std::uint64_t from_ms);

    /// Returns the outcome of the key, or null if there is none.
    const archived_outcome* find(const claim_key& key) const;

    /// Drops the slices that have expired at the given time.
    void expire(std::uint64_t now_ms);

    /// Returns the memory size of all hash tables in bytes.
    std::uint64_t bytes() const noexcept;

    /// Returns the number of outcomes.
    std::size_t size() const noexcept;

    /// Calls visit(start time in ms, outcomes) for each slice, oldest first.
    /// The outcomes are ordered by key.
    template <class Visitor>
    void for_each_slice(Visitor&& visit) const
    {
        for (const slice& each : m_slices)
        {
            visit(each.number * m_slice_ms, each.sorted());
        }
    }

private:
    struct slice
    {
        std::uint64_t number = 0;
        std::size_t count = 0;
        std::vector<archived_outcome> slots;

        void add(const archived_outcome& value);
        void grow();
        const archived_outcome* find(const claim_key& key) const;
        std::vector<archived_outcome> sorted() const;
    };

    std::uint64_t m_period_ms;
    std::uint64_t m_slice_ms;
    /// Ordered by number.
    std::deque<slice> m_slices;
};

} // namespace limpet::claims
