#include "ownership_tracker.hpp"

#include <algorithm>

namespace limpet::membership
{

namespace
{

constexpr auto report_period = seconds(1);
constexpr unsigned router_tag_bits = 16;
constexpr std::uint64_t router_tag_mask =
    (std::uint64_t{1} << router_tag_bits) - 1;

/// Excludes probes sent at the moment of a change, as these may not carry the
/// change yet.
time_point just_after(time_point now)
{
    return now + nanoseconds(1);
}

} // namespace

ownership_tracker::ownership_tracker(region_state& state,
                                     const quorum& grants,
                                     outbox& out,
                                     time_point now)
    : m_state(state),
      m_quorum(grants),
      m_out(out),
      m_view(state.snapshot()),
      m_last_message_at(now),
      m_next_report(now),
      m_next_expiry(now)
{
}

bool ownership_tracker::is_own(const view& current,
                               const engine_entry& entry) const
{
    return entry.owner != engine_entry::no_router &&
           current.routers()[entry.owner].self.vm == m_state.self().self.vm;
}

void ownership_tracker::refresh(time_point now)
{
    if (m_view->version() == m_state.version())
    {
        return;
    }
    refute_removals(now);
    const auto current = m_state.snapshot();
    std::map<key, owned_engine> holdings;
    for (const auto& entry : current->engines())
    {
        if (!is_own(*current, entry))
        {
            continue;
        }
        const auto engine = key_of(entry.engine->server.engine);
        auto held = m_owned.extract(engine);
        holdings.emplace(engine,
                         held.empty() ? acquire(entry, now)
                                      : retain(held.mapped(), *entry.engine));
    }
    std::swap(m_owned, holdings);
    m_view = current;
    for (const auto& [engine, held] : holdings)
    {
        release(engine, held, now);
    }
    send_hand_overs();
}

ownership_tracker::owned_engine
ownership_tracker::retain(owned_engine held, const engine_record& engine) const
{
    if (held.started != engine.server.started)
    {
        held.started = engine.server.started;
        held.inherited.reset();
    }
    return held;
}

ownership_tracker::owned_engine
ownership_tracker::acquire(const engine_entry& entry, time_point now)
{
    const auto& server = entry.engine->server;
    owned_engine held;
    held.started = server.started;
    held.acquired_at = just_after(now);
    held.stage_started_at = held.acquired_at;
    held.remote_takeover =
        server.data_centre != m_state.self().self.data_centre &&
        has_removed_routers(server.data_centre);
    const auto* former = m_view->owner_of(server.engine);
    held.former_owner = former == nullptr ? 0 : key_of(former->self.vm);
    // The engine's first record, so that no router has owned it before.
    const bool is_new = former == nullptr && entry.engine->version == 0;
    if (is_new && has_stable_lease(now))
    {
        held.full_at = now;
    }
    const auto early = m_early_hand_overs.find(key_of(server.engine));
    if (early != m_early_hand_overs.end())
    {
        accept_hand_over(early->second.from, held, early->second.item, now);
        m_early_hand_overs.erase(early);
    }
    return held;
}

bool ownership_tracker::has_stable_lease(time_point now) const
{
    return m_lease_since &&
           now - *m_lease_since >= m_state.values().ownership_lease;
}

bool ownership_tracker::has_removed_routers(
    const data_centre_id& data_centre) const
{
    return std::ranges::any_of(m_state.routers(),
                               [&](const auto& item)
                               {
                                   const auto& record = item.second.record;
                                   return record.self.data_centre ==
                                              data_centre &&
                                          record.state == router_state::dead;
                               });
}

void ownership_tracker::release(key engine,
                                const owned_engine& held,
                                time_point now)
{
    const auto* stored = m_state.find_engine(engine);
    const auto* owner = stored == nullptr
                            ? nullptr
                            : m_view->owner_of(stored->record->server.engine);
    if (owner == nullptr)
    {
        return;
    }
    const auto load = load_of(engine);
    const auto inherited = held.inherited ? held.inherited->in_flight : 0;
    const auto to = key_of(owner->self.vm);
    m_released[engine] = {to, load.in_flight};
    m_pending_hand_overs[to].items.push_back({engine,
                                              fencing_number_of(held),
                                              load.in_flight + inherited,
                                              load.limit,
                                              is_full(held, now)});
}

void ownership_tracker::send_hand_overs()
{
    for (auto& [to, items] : m_pending_hand_overs)
    {
        if (const auto* receiver = m_state.find_router(to))
        {
            m_out.send(
                receiver->record.self, traffic::ownership, std::move(items));
        }
    }
    m_pending_hand_overs.clear();
}

void ownership_tracker::refute_removals(time_point now)
{
    const auto& lease = m_state.values().engine_lease;
    for (const auto& [engine, held] : m_owned)
    {
        const auto* stored = m_state.find_engine(engine);
        if (stored == nullptr || !stored->record->gone ||
            stored->record->server.started != held.started ||
            !held.last_renewal || now - *held.last_renewal > lease)
        {
            continue;
        }
        auto record = std::make_shared<engine_record>(*stored->record);
        record->gone = false;
        ++record->version;
        m_state.merge(engine_ptr(std::move(record)), now);
    }
}

void ownership_tracker::on_hand_over(key from,
                                     const hand_over& items,
                                     time_point now)
{
    for (const auto& item : items.items)
    {
        m_state.raise_clock(item.fencing.get() >> router_tag_bits);
        const auto found = m_owned.find(item.engine);
        if (found == m_owned.end())
        {
            m_early_hand_overs[item.engine] = {from, item, now};
            continue;
        }
        accept_hand_over(from, found->second, item, now);
    }
}

void ownership_tracker::accept_hand_over(key from,
                                         owned_engine& held,
                                         const hand_over_item& item,
                                         time_point now)
{
    if (from != held.former_owner)
    {
        return;
    }
    const auto limit = held.inherited ? held.inherited->limit : item.limit;
    held.inherited = handed_over{item.in_flight, limit};
    held.inherited_at = now;
    if (item.was_full_owner && !held.full_at)
    {
        held.full_at = now;
    }
}

void ownership_tracker::on_renewal(const renewal& item, time_point now)
{
    const auto found = m_owned.find(item.engine);
    if (found == m_owned.end() || found->second.started != item.started)
    {
        return;
    }
    auto& held = found->second;
    held.last_renewal = now;
    if (!held.first_renewal)
    {
        held.first_renewal = now;
    }
}

void ownership_tracker::set_load(key engine, const engine_load& load)
{
    m_loads[engine] = load;
}

engine_load ownership_tracker::load_of(key engine) const
{
    const auto found = m_loads.find(engine);
    return found == m_loads.end() ? engine_load{0, 0, true} : found->second;
}

bool ownership_tracker::holds_lease(time_point now) const
{
    return now < m_quorum.lease_until();
}

bool ownership_tracker::is_isolated(time_point now) const
{
    return now - m_last_message_at > m_state.values().ownership_lease;
}

void ownership_tracker::track_lease(time_point now)
{
    if (!holds_lease(now))
    {
        m_lease_since.reset();
        return;
    }
    if (m_lease_since)
    {
        return;
    }
    m_lease_since = now;
    for (auto& [engine, held] : m_owned)
    {
        reacquire(held, now);
    }
}

/// Restarts the ownership, as another router may have owned the engine while
/// this router's lease was expired.
void ownership_tracker::reacquire(owned_engine& held, time_point now)
{
    held.acquired_at = just_after(now);
    held.full_at.reset();
    held.stage = fencing_stage::reading;
    held.stage_started_at = held.acquired_at;
}

void ownership_tracker::tick(time_point now)
{
    track_lease(now);
    m_needs_quorum = false;
    std::uint64_t batch_clock = 0;
    for (auto& [engine, held] : m_owned)
    {
        advance_mode(held, now);
        advance_fencing(held, batch_clock, now);
    }
    report_modes(now);
    expire_engines(now);
    if (now >= m_next_report)
    {
        m_next_report = now + report_period;
        report_released_loads(now);
    }
}

void ownership_tracker::advance_mode(owned_engine& held, time_point now)
{
    const auto& values = m_state.values();
    if (held.inherited && now - held.inherited_at > values.ownership_lease)
    {
        // The former owner stopped reporting: it is down, and its requests
        // ended with it.
        held.inherited->in_flight = 0;
    }
    if (held.full_at)
    {
        return;
    }
    if (!m_quorum.granted_since(held.acquired_at))
    {
        m_needs_quorum = true;
        return;
    }
    if (!held.remote_takeover)
    {
        held.full_at = now + values.ownership_lease;
        return;
    }
    if (held.first_renewal)
    {
        // A former owner beyond the partition may still own the engine. Since
        // the engine renews here and no longer there, its lease with that
        // owner expires within one engine lease.
        held.full_at = std::max(now + values.ownership_lease,
                                *held.first_renewal + values.engine_lease);
    }
}

void ownership_tracker::advance_fencing(owned_engine& held,
                                        std::uint64_t& batch_clock,
                                        time_point now)
{
    if (held.stage == fencing_stage::known)
    {
        return;
    }
    if (!m_quorum.granted_since(held.stage_started_at))
    {
        m_needs_quorum = true;
        return;
    }
    if (held.stage == fencing_stage::writing)
    {
        held.stage = fencing_stage::known;
        return;
    }
    if (batch_clock == 0)
    {
        batch_clock = m_state.advance_clock();
    }
    held.clock = batch_clock;
    held.stage = fencing_stage::writing;
    held.stage_started_at = just_after(now);
    m_needs_quorum = true;
}

fencing_number
ownership_tracker::fencing_number_of(const owned_engine& held) const
{
    return fencing_number(held.clock << router_tag_bits |
                          (m_state.self_key() & router_tag_mask));
}

bool ownership_tracker::is_full(const owned_engine& held, time_point now) const
{
    return holds_lease(now) && held.full_at && now >= *held.full_at;
}

ownership_mode ownership_tracker::mode_of(const owned_engine& held,
                                          time_point now) const
{
    if (!m_state.active() || (held.remote_takeover && !held.first_renewal))
    {
        return ownership_mode::none;
    }
    if (holds_lease(now))
    {
        return is_full(held, now) ? ownership_mode::full
                                  : ownership_mode::limited;
    }
    const bool hears_engine =
        held.last_renewal &&
        now - *held.last_renewal < m_state.values().engine_lease;
    return is_isolated(now) && hears_engine && !held.remote_takeover
               ? ownership_mode::limited
               : ownership_mode::none;
}

ownership ownership_tracker::ownership_of(key engine, time_point now) const
{
    const auto found = m_owned.find(engine);
    if (found == m_owned.end())
    {
        return {};
    }
    const auto& held = found->second;
    ownership result;
    result.mode = mode_of(held, now);
    if (result.mode == ownership_mode::none)
    {
        return result;
    }
    result.inherited = held.inherited;
    const auto* stored = m_state.find_engine(engine);
    const bool checks =
        stored != nullptr && stored->record->server.checks_fencing;
    if (held.stage == fencing_stage::known)
    {
        result.fencing = fencing_number_of(held);
        result.may_order =
            holds_lease(now) && (checks || result.mode == ownership_mode::full);
    }
    return result;
}

void ownership_tracker::report_modes(time_point now)
{
    for (auto& [engine, held] : m_owned)
    {
        const auto mode = mode_of(held, now);
        if (mode == held.reported_mode)
        {
            continue;
        }
        m_out.add(ownership_changed{
            m_state.find_engine(engine)->record->server.engine,
            held.reported_mode,
            mode});
        held.reported_mode = mode;
    }
}

void ownership_tracker::expire_engines(time_point now)
{
    if (now < m_next_expiry || !holds_lease(now))
    {
        return;
    }
    m_next_expiry = now + report_period;
    for (const auto& [engine, held] : m_owned)
    {
        const auto last = held.last_renewal
                              ? std::max(*held.last_renewal, held.acquired_at)
                              : held.acquired_at;
        const auto* stored = m_state.find_engine(engine);
        if (stored == nullptr || stored->record->gone ||
            now - last <= m_state.values().engine_lease)
        {
            continue;
        }
        auto record = std::make_shared<engine_record>(*stored->record);
        record->gone = true;
        ++record->version;
        m_state.merge(engine_ptr(std::move(record)), now);
    }
}

void ownership_tracker::report_released_loads(time_point now)
{
    const auto is_old = [&](const auto& item)
    {
        return now - item.second.received > m_state.values().ownership_lease;
    };
    std::erase_if(m_early_hand_overs, is_old);
    for (auto i = m_released.begin(); i != m_released.end();)
    {
        auto& [engine, one] = *i;
        const auto load = load_of(engine);
        if (load.in_flight > 0 || one.reported_in_flight > 0)
        {
            m_pending_hand_overs[one.new_owner].items.push_back(
                {engine, fencing_number(0), load.in_flight, load.limit, false});
        }
        one.reported_in_flight = load.in_flight;
        const bool finished = load.in_flight == 0;
        if (finished && !m_owned.contains(engine))
        {
            m_loads.erase(engine);
        }
        i = finished ? m_released.erase(i) : std::next(i);
    }
    send_hand_overs();
}

load_rows ownership_tracker::own_rows() const
{
    load_rows rows;
    const auto add = [&](key engine, const engine_load& load, bool owned)
    {
        const auto* stored = m_state.find_engine(engine);
        if (stored == nullptr)
        {
            return;
        }
        const bool eligible =
            owned && load.eligible && stored->record->accepts_work();
        for (const auto& model : stored->record->server.models)
        {
            auto& row = rows[key_of(model)];
            row.in_flight += load.in_flight;
            row.eligible += eligible ? 1 : 0;
        }
    };
    for (const auto& [engine, held] : m_owned)
    {
        add(engine, load_of(engine), true);
    }
    for (const auto& [engine, one] : m_released)
    {
        if (!m_owned.contains(engine))
        {
            add(engine, load_of(engine), false);
        }
    }
    return rows;
}

std::size_t ownership_tracker::state_bytes() const
{
    constexpr std::size_t map_node_bytes = 48;
    return sizeof(*this) +
           m_owned.size() * (map_node_bytes + sizeof(owned_engine)) +
           m_loads.size() * (map_node_bytes + sizeof(engine_load)) +
           m_released.size() * (map_node_bytes + sizeof(released_engine)) +
           m_early_hand_overs.size() *
               (map_node_bytes + sizeof(early_hand_over));
}

} // namespace limpet::membership
