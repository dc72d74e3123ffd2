#include "region_state.hpp"

#include <algorithm>
#include <bit>

namespace limpet::membership
{

namespace
{

/// Incarnations below this bound are start times. They initialise the logical
/// clock, so that the clock of a restarted router begins above all values of
/// its former process.
constexpr std::uint64_t max_clock_start = std::uint64_t{1} << 47U;
/// Received clock values from this bound on are ignored as invalid.
constexpr std::uint64_t max_clock = std::uint64_t{1} << 48U;

constexpr std::uint32_t max_flaps = 20;
/// Transmissions of a change in addition to the logarithm of the number of
/// routers.
constexpr std::uint32_t extra_transmissions = 2;

router_record initial_record(peer self, incarnation started)
{
    router_record record;
    record.self = std::move(self);
    record.started = started;
    return record;
}

stored_router seed_entry(const peer& seed, time_point now)
{
    stored_router entry;
    entry.record.self = seed;
    entry.record.state = router_state::dead;
    entry.changed_at = now;
    return entry;
}

} // namespace

region_state::region_state(const settings& values,
                           peer self,
                           incarnation started,
                           const std::vector<peer>& seeds,
                           std::uint64_t random_seed,
                           time_point now)
    : m_settings(values),
      m_random(random_seed),
      m_self_key(key_of(self.vm))
{
    if (started.get() < max_clock_start)
    {
        m_clock = started.get();
    }
    m_routers[m_self_key] = {initial_record(std::move(self), started), now};
    for (const auto& seed : seeds)
    {
        const auto name = key_of(seed.vm);
        if (name != m_self_key &&
            seed.region == m_routers.at(m_self_key).record.self.region)
        {
            m_routers[name] = seed_entry(seed, now);
        }
    }
}

void region_state::update_self(router_record record, time_point now)
{
    record.version = self().version + 1;
    store(m_self_key, record, now);
}

bool region_state::active() const
{
    return !m_superseded_by && self().state != router_state::left;
}

const stored_router* region_state::find_router(key name) const
{
    const auto found = m_routers.find(name);
    return found == m_routers.end() ? nullptr : &found->second;
}

const stored_engine* region_state::find_engine(key name) const
{
    const auto found = m_engines.find(name);
    return found == m_engines.end() ? nullptr : &found->second;
}

bool region_state::merge_own_record(const router_record& claimed,
                                    time_point now)
{
    if (claimed.started > self().started)
    {
        m_superseded_by = claimed.started;
        mark_routers_changed();
        return true;
    }
    if (claimed.started < self().started || !active() ||
        !supersedes(claimed, self()))
    {
        return false;
    }
    auto refuted = self();
    if (claimed.state == router_state::dead)
    {
        // Other routers removed this one although it is running. It owns no
        // engines until its hold-down is over again.
        refuted.flaps = static_cast<std::uint8_t>(
            std::min<std::uint32_t>(refuted.flaps + 1, max_flaps));
        refuted.ready = false;
    }
    // The refuting record needs a higher version than the claim, which may
    // itself be ahead of this router's version.
    m_routers.at(m_self_key).record.version = claimed.version;
    update_self(std::move(refuted), now);
    return true;
}

bool region_state::merge(const router_record& record, time_point now)
{
    const auto name = key_of(record.self.vm);
    if (name == m_self_key)
    {
        return merge_own_record(record, now);
    }
    const auto* known = find_router(name);
    const bool foreign = record.self.region != self().self.region;
    if (foreign || record.started == incarnation(0) ||
        (known == nullptr && (m_routers.size() >= m_settings.max_routers ||
                              has_tombstone(name, record.started))) ||
        (known != nullptr && !supersedes(record, known->record)))
    {
        return false;
    }
    store(name, record, now);
    return true;
}

bool region_state::merge(const router_status& status, time_point now)
{
    const auto* known = find_router(status.router);
    if (known == nullptr)
    {
        return false;
    }
    // A status has no address or location, so a status of another incarnation
    // cannot be stored. For this router itself it shows a later process.
    const bool own = status.router == m_self_key;
    if (!own && known->record.started != status.started)
    {
        return false;
    }
    auto record = known->record;
    record.started = status.started;
    record.version = status.version;
    record.state = status.state;
    record.flaps = status.flaps;
    record.ready = status.ready;
    return merge(record, now);
}

bool region_state::merge(const engine_ptr& record, time_point now)
{
    const auto name = key_of(record->server.engine);
    const auto* known = find_engine(name);
    if (known == nullptr)
    {
        if (record->gone || m_engines.size() >= m_settings.max_engines)
        {
            return false;
        }
    }
    else if (!supersedes(*record, *known->record))
    {
        return false;
    }
    store(name, record, now);
    return true;
}

bool region_state::merge(const engine_status& status, time_point now)
{
    const auto* known = find_engine(status.engine);
    if (known == nullptr || known->record->server.started != status.started)
    {
        return false;
    }
    auto record = std::make_shared<engine_record>(*known->record);
    record->version = status.version;
    record->flaps = status.flaps;
    record->server.leaving = status.leaving;
    record->gone = status.gone;
    return merge(engine_ptr(std::move(record)), now);
}

void region_state::merge(const updates& changes, time_point now)
{
    const auto merge_all = [this, now](const auto& items)
    {
        for (const auto& item : items)
        {
            merge(item, now);
        }
    };
    merge_all(changes.routers);
    merge_all(changes.router_statuses);
    merge_all(changes.engines);
    merge_all(changes.engine_statuses);
}

void region_state::merge_synchronised(const updates& changes, time_point now)
{
    m_queues_changes = false;
    merge(changes, now);
    m_queues_changes = true;
}

void region_state::set_router_state(key name,
                                    router_state state,
                                    time_point now)
{
    auto record = m_routers.at(name).record;
    record.state = state;
    store(name, record, now);
}

void region_state::store(key name, const router_record& record, time_point now)
{
    auto& entry = m_routers[name];
    const bool full_record = entry.record.started != record.started ||
                             entry.record.self != record.self;
    entry.record = record;
    entry.changed_at = now;
    m_tombstones.erase(name);
    enqueue(record_kind::router, name, full_record);
    mark_routers_changed();
}

void region_state::store(key name, engine_ptr record, time_point now)
{
    auto& stored = m_engines[name];
    const auto description = [](const announcement& server)
    {
        return std::tie(server.started,
                        server.address,
                        server.models,
                        server.slots,
                        server.checks_fencing);
    };
    const bool full_record =
        !stored.record ||
        description(stored.record->server) != description(record->server);
    stored.record = std::move(record);
    stored.changed_at = now;
    enqueue(record_kind::engine, name, full_record);
    mark_changed();
}

void region_state::enqueue(record_kind kind, key name, bool full_record)
{
    const bool own = kind == record_kind::router && name == m_self_key;
    if (!m_queues_changes && !own)
    {
        return;
    }
    const auto members = static_cast<std::uint32_t>(m_routers.size());
    const auto transmissions =
        extra_transmissions +
        static_cast<std::uint32_t>(std::bit_width(members));
    m_queue.add(kind, name, transmissions, full_record);
}

void region_state::mark_routers_changed() noexcept
{
    ++m_routers_version;
    mark_changed();
}

std::size_t region_state::member_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_routers,
                              [](const auto& item)
                              {
                                  return item.second.record.is_member();
                              }));
}

void region_state::mark_changed() noexcept
{
    ++m_version;
    m_snapshot.reset();
}

bool region_state::has_tombstone(key name, incarnation started) const
{
    const auto found = m_tombstones.find(name);
    return found != m_tombstones.end() &&
           found->second.record.started >= started;
}

void region_state::evict_expired(time_point now, bool hears_quorum)
{
    const auto old = [this, now](time_point changed_at)
    {
        return now - changed_at > m_settings.retention;
    };
    std::erase_if(m_engines,
                  [&](const auto& item)
                  {
                      return item.second.record->gone &&
                             old(item.second.changed_at);
                  });
    std::erase_if(m_tombstones,
                  [&](const auto& item)
                  {
                      return old(item.second.changed_at);
                  });
    if (!hears_quorum)
    {
        return;
    }
    for (auto i = m_routers.begin(); i != m_routers.end();)
    {
        if (i->first == m_self_key || i->second.record.is_member() ||
            !old(i->second.changed_at))
        {
            ++i;
            continue;
        }
        i->second.changed_at = now;
        m_tombstones[i->first] = i->second;
        i = m_routers.erase(i);
        mark_routers_changed();
    }
}

updates region_state::take_updates(std::size_t max_bytes, std::uint32_t copies)
{
    updates result;
    std::size_t bytes = 0;
    const auto fits = [&](std::size_t more)
    {
        // The first change is always included, whatever its size.
        const bool ok = bytes == 0 || bytes + more <= max_bytes;
        bytes += more;
        return ok;
    };
    const auto add_router = [&](key name, bool full_record)
    {
        const auto* entry = find_router(name);
        if (entry == nullptr)
        {
            return true;
        }
        if (!fits(full_record ? encoded_bytes(entry->record)
                              : sizeof(router_status)))
        {
            return false;
        }
        if (full_record)
        {
            result.routers.push_back(entry->record);
            return true;
        }
        result.router_statuses.push_back(status_of(name, entry->record));
        return true;
    };
    const auto add_engine = [&](key name, bool full_record)
    {
        const auto* stored = find_engine(name);
        if (stored == nullptr)
        {
            return true;
        }
        const auto& record = *stored->record;
        if (!fits(full_record ? encoded_bytes(record) : sizeof(engine_status)))
        {
            return false;
        }
        if (full_record)
        {
            result.engines.push_back(stored->record);
            return true;
        }
        result.engine_statuses.push_back({name,
                                          record.server.started,
                                          record.version,
                                          record.flaps,
                                          record.server.leaving,
                                          record.gone});
        return true;
    };
    m_queue.send(copies,
                 [&](record_kind kind, key name, bool full_record)
                 {
                     return kind == record_kind::router
                                ? add_router(name, full_record)
                                : add_engine(name, full_record);
                 });
    return result;
}

router_status region_state::status_of(key name, const router_record& record)
{
    return {name,
            record.started,
            record.version,
            record.state,
            record.flaps,
            record.ready};
}

std::shared_ptr<const view> region_state::snapshot()
{
    if (m_snapshot)
    {
        return m_snapshot;
    }
    std::vector<router_record> members;
    for (const auto& [name, entry] : m_routers)
    {
        const bool acting = name != m_self_key || active();
        if (acting && entry.record.is_member())
        {
            members.push_back(entry.record);
        }
    }
    std::vector<engine_ptr> engines;
    for (const auto& [name, stored] : m_engines)
    {
        if (!stored.record->gone)
        {
            engines.push_back(stored.record);
        }
    }
    m_snapshot = std::make_shared<const view>(
        m_version, std::move(members), std::move(engines));
    return m_snapshot;
}

void region_state::raise_clock(std::uint64_t seen) noexcept
{
    if (seen < max_clock)
    {
        m_clock = std::max(m_clock, seen);
    }
}

std::size_t region_state::state_bytes() const
{
    constexpr std::size_t map_node_bytes = 48;
    std::size_t bytes =
        sizeof(*this) +
        m_queue.size() * (map_node_bytes + sizeof(update_queue::entry));
    for (const auto& [name, entry] : m_routers)
    {
        bytes += map_node_bytes + sizeof(entry) + encoded_bytes(entry.record);
    }
    for (const auto& [name, stored] : m_engines)
    {
        bytes += map_node_bytes + sizeof(stored) + sizeof(engine_record) +
                 encoded_bytes(*stored.record);
    }
    return bytes;
}

} // namespace limpet::membership
