/// \file
/// Compact record of keys whose answers need not be given again in full.

#pragma once

#include <limpet/base/units.hpp>
#include <limpet/claims/claim_key.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace limpet::claims
{

/// What is left of a finished request.
struct archived_outcome
{
    claim_key key;
    std::uint64_t fingerprint = 0;
    std::uint16_t status = 0;
    /// Whether an outcome was recorded.
    bool known = false;
    /// Whether the place in a table is taken.
    bool used = false;
};

/// Set of outcomes in slices of time, each a hash table of 32-byte places
/// that is dropped as a whole. Its size depends on the number of outcomes in
/// each slice alone, so that replicas agree on it. Not thread-safe.
class outcome_archive
{
public:
    /// Keeps an outcome for at least the period, and at most a slice longer.
    explicit outcome_archive(milliseconds period);

    /// Adds an outcome whose period starts at the time. Times must not fall
    /// by more than a slice.
    void add(const archived_outcome& value, std::uint64_t from_ms);

    /// Returns the outcome or null.
    const archived_outcome* find(const claim_key& key) const;

    /// Drops what is over at the time.
    void expire(std::uint64_t now_ms);

    /// Returns the bytes of all tables.
    std::uint64_t bytes() const noexcept;

    /// Returns the number of outcomes.
    std::size_t size() const noexcept;

    /// Calls visit(start of the slice, outcomes) for each slice, oldest first.
    /// The outcomes are in the order of their keys.
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
        std::vector<archived_outcome> places;

        void add(const archived_outcome& value);
        void grow();
        const archived_outcome* find(const claim_key& key) const;
        std::vector<archived_outcome> sorted() const;
    };

    std::uint64_t m_period_ms;
    std::uint64_t m_slice_ms;
    /// In the order of their numbers.
    std::deque<slice> m_slices;
};

} // namespace limpet::claims
