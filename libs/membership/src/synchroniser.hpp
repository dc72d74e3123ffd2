/// \file
/// Dissemination of changes by gossip and anti-entropy.

#pragma once

#include "outbox.hpp"

#include <array>

namespace limpet::membership
{

/// Sends pending changes to a few random routers at a bounded rate (gossip).
/// Also compares all records with a random router periodically (anti-entropy),
/// which repairs differences left by lost or dropped changes.
class synchroniser
{
public:
    synchroniser(region_state& state, outbox& out, time_point now);

    void tick(time_point now);
    void on_request(const peer& from, const sync_request& request);
    void on_records(const peer& from,
                    const sync_records& records,
                    const updates& theirs,
                    time_point now);

    /// Compares the records at a shorter period until no difference is left.
    void start_fast_sync(time_point now);

    /// Returns whether the last comparison found no difference.
    bool in_sync() const noexcept
    {
        return m_in_sync;
    }

    /// Sends the pending changes to the given routers at once, outside of the
    /// rate limit.
    void flush(const std::vector<peer>& to);

private:
    static constexpr std::size_t bucket_count = 64;
    using hashes = std::array<std::uint32_t, bucket_count>;

    const hashes& own_hashes();
    hashes compute_hashes() const;
    updates records_of(const std::vector<std::uint8_t>& buckets) const;
    std::vector<peer> random_members(std::size_t count);
    void gossip_updates(time_point now);

    region_state& m_state;
    outbox& m_out;
    time_point m_next_gossip;
    time_point m_next_sync;
    /// Token bucket, in bytes, that limits the rate of gossip.
    double m_byte_budget = 0;
    bool m_in_sync = false;
    bool m_fast_sync = false;
    hashes m_hashes{};
    std::uint64_t m_hashes_version = 0;
};

} // namespace limpet::membership
