/// \file
/// Outcomes of requests by version, as routers report them.

#pragma once

#include <limpet/rollout/record.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace limpet::rollout
{

/// Hash of a router's name and start. A restarted router is another reporter.
using reporter_key = strong_type<struct reporter_key_tag, std::uint64_t>;

/// Hash of a route's name.
using route_key = strong_type<struct route_key_tag, std::uint64_t>;

/// Numbers of answers. A slow answer counts as served, too.
struct outcome_counts
{
    std::uint32_t served = 0;
    std::uint32_t failed = 0;
    std::uint32_t slow = 0;

    std::uint32_t answers() const noexcept
    {
        return served + failed;
    }

    std::uint32_t bad() const noexcept
    {
        return failed + slow;
    }

    outcome_counts& operator+=(const outcome_counts& other) noexcept;
    bool operator==(const outcome_counts&) const = default;
};

/// Outcomes that one router has counted since it started, on one route and one
/// side of a rollout. Counters only increase.
struct evidence_row
{
    rollout_id rollout{};
    reporter_key reporter{};
    route_key route{};
    /// Whether the row counts answers of the target, and not those of the
    /// service's other versions.
    bool is_target = false;
    outcome_counts counts;

    bool operator==(const evidence_row&) const = default;
};

/// Both sides of a route.
struct route_evidence
{
    outcome_counts target;
    outcome_counts others;
};

/// Evidence of a rollout, summed over all reporters.
using evidence = std::map<route_key, route_evidence>;

/// Newest counters of all reporters. Merges rows by the maximum of each
/// counter, so that rows that are repeated, reordered or relayed count once.
/// Not thread-safe.
class evidence_table
{
public:
    /// Rows of further reporters and routes are not stored. Above 410 routers
    /// with 16 routes and both sides.
    static constexpr std::size_t max_rows = 16'384;

    /// Merges a row. Returns whether a counter has increased.
    bool merge(const evidence_row& row);

    /// Returns up to `limit` rows that increased since the last call for this
    /// table, those that waited longest first.
    std::vector<evidence_row> take_changed(std::size_t limit);

    /// Returns all rows.
    std::vector<evidence_row> rows() const;

    /// Marks all rows as changed, since a message with some may be lost.
    void mark_all_changed();

    /// Returns the sums over all reporters of the rollout.
    evidence sum(rollout_id rollout) const;

    /// Removes rows of all rollouts but these.
    void retain(const std::vector<rollout_id>& running);

    std::size_t size() const noexcept
    {
        return m_rows.size();
    }

private:
    using row_key = std::tuple<rollout_id, reporter_key, route_key, bool>;

    struct row_state
    {
        outcome_counts counts;
        /// Number of the last change; 0 once it was taken.
        std::uint64_t change = 0;
    };

    std::map<row_key, row_state> m_rows;
    std::uint64_t m_changes = 0;
};

} // namespace limpet::rollout
