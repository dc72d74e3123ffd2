/// \file
/// One router's replica of the records of its region.

#pragma once

#include "message.hpp"
#include "update_queue.hpp"

#include <limpet/base/random.hpp>
#include <limpet/membership/settings.hpp>
#include <limpet/membership/view.hpp>

#include <map>
#include <memory>
#include <optional>

namespace limpet::membership
{

/// A router's record and the local time of its last change.
struct stored_router
{
    router_record record;
    time_point changed_at;

    /// Returns whether the router is known only as a seed: no record of it has
    /// been received yet.
    bool is_unconfirmed_seed() const noexcept
    {
        return record.started == incarnation(0);
    }
};

/// An engine's record and the local time of its last change.
struct stored_engine
{
    engine_ptr record;
    time_point changed_at;
};

/// Holds the records and merges changes into them. Each change is queued for
/// transmission to the other routers. The components of a node share one
/// region_state.
class region_state
{
public:
    region_state(const settings& values,
                 peer self,
                 incarnation started,
                 const std::vector<peer>& seeds,
                 std::uint64_t random_seed,
                 time_point now);

    const settings& values() const noexcept
    {
        return m_settings;
    }

    random_source& random() noexcept
    {
        return m_random;
    }

    key self_key() const noexcept
    {
        return m_self_key;
    }

    /// Returns this router's own record.
    const router_record& self() const
    {
        return m_routers.at(m_self_key).record;
    }

    /// Replaces this router's own record by one with a higher version.
    void update_self(router_record record, time_point now);

    /// Returns the incarnation that replaced this process, if any.
    const std::optional<incarnation>& superseded_by() const noexcept
    {
        return m_superseded_by;
    }

    /// Returns whether this router takes part in the region: it has not left
    /// and no later incarnation has superseded it.
    bool active() const;

    const std::map<key, stored_router>& routers() const noexcept
    {
        return m_routers;
    }

    const std::map<key, stored_engine>& engines() const noexcept
    {
        return m_engines;
    }

    const stored_router* find_router(key name) const;
    const stored_engine* find_engine(key name) const;

    /// Merge a change and return whether it superseded the stored record.
    bool merge(const router_record& record, time_point now);
    bool merge(const router_status& status, time_point now);
    bool merge(const engine_ptr& record, time_point now);
    bool merge(const engine_status& status, time_point now);
    void merge(const updates& changes, time_point now);

    /// Merges records received in a comparison of records. They are not queued
    /// for transmission, as the other routers receive them in comparisons of
    /// their own.
    void merge_synchronised(const updates& changes, time_point now);

    /// Sets the state of a router and keeps the version of its record.
    void set_router_state(key name, router_state state, time_point now);

    /// Evicts the records of removed engines and routers after the retention
    /// time. Routers are evicted only while this router holds the lease of a
    /// quorum: an isolated router that evicted the others would become the only
    /// voter and grant itself the lease.
    void evict_expired(time_point now, bool has_quorum_lease);

    /// Returns queued changes of about max_bytes at most, but at least one if
    /// any is queued, and counts each as sent to the given number of routers.
    updates take_updates(std::size_t max_bytes, std::uint32_t copies);

    bool has_updates() const noexcept
    {
        return !m_queue.empty();
    }

    /// Returns the status of the record.
    static router_status status_of(key name, const router_record& record);

    /// Returns the current snapshot.
    std::shared_ptr<const view> snapshot();

    /// Returns a number that increases with each change.
    std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /// Returns a number that increases with each change of a router.
    std::uint64_t routers_version() const noexcept
    {
        return m_routers_version;
    }

    /// Returns the number of member routers, this one included.
    std::size_t member_count() const;

    /// Returns the logical clock that all messages carry.
    std::uint64_t clock() const noexcept
    {
        return m_clock;
    }

    void raise_clock(std::uint64_t seen) noexcept;
    std::uint64_t advance_clock() noexcept
    {
        return ++m_clock;
    }

    std::size_t state_bytes() const;

private:
    bool merge_own_record(const router_record& claimed, time_point now);
    void store(key name, const router_record& record, time_point now);
    void store(key name, engine_ptr record, time_point now);
    void enqueue(record_kind kind, key name, bool full_record);
    void mark_changed() noexcept;
    void mark_routers_changed() noexcept;
    bool has_tombstone(key name, incarnation started) const;

    settings m_settings;
    random_source m_random;
    key m_self_key;
    std::map<key, stored_router> m_routers;
    std::map<key, stored_engine> m_engines;
    /// Recently evicted routers. Other routers may still send their records,
    /// which must not be stored again.
    std::map<key, stored_router> m_tombstones;
    update_queue m_queue;
    bool m_queues_changes = true;
    std::optional<incarnation> m_superseded_by;
    std::uint64_t m_version = 1;
    std::uint64_t m_routers_version = 1;
    std::uint64_t m_clock = 0;
    std::shared_ptr<const view> m_snapshot;
};

} // namespace limpet::membership
