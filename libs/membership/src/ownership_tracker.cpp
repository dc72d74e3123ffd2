#include "ownership_tracker.hpp"

#include <algorithm>

namespace limpet::membership
{

namespace
{

constexpr auto report_period = seconds(1);
constexpr unsigned tag_bits = 16;
constexpr std::uint64_t tag_mask = (std::uint64_t{1} << tag_bits) - 1;

/// A probe sent at the very moment of a change may not carry the change yet.
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
      m_last_heard(now),
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
    std::map<key, holding> holdings;
    for (const auto& entry : current->engines())
    {
        if (!is_own(*current, entry))
        {
            continue;
        }
        const auto engine = key_of(entry.engine->server.engine);
        auto held = m_holdings.extract(engine);
        holdings.emplace(engine,
                         held.empty() ? gain(entry, now)
                                      : keep(held.mapped(), *entry.engine));
    }
    std::swap(m_holdings, holdings);
    m_view = current;
    for (const auto& [engine, held] : holdings)
    {
        lose(engine, held, now);
    }
    send_hand_overs();
}

ownership_tracker::holding
ownership_tracker::keep(holding held, const engine_record& engine) const
{
    if (held.started != engine.server.started)
    {
        held.started = engine.server.started;
        held.inherited.reset();
    }
    return held;
}

ownership_tracker::holding ownership_tracker::gain(const engine_entry& entry,
                                                   time_point now)
{
    const auto& server = entry.engine->server;
    holding held;
    held.started = server.started;
    held.gained = just_after(now);
    held.stage_began = held.gained;
    held.stand_in = server.data_centre != m_state.self().self.data_centre &&
                    has_removed_routers(server.data_centre);
    const auto* former = m_view->owner_of(server.engine);
    held.former = former == nullptr ? 0 : key_of(former->self.vm);
    // A first record of an engine that no router owned yet.
    const bool is_new = former == nullptr && entry.engine->version == 0;
    if (is_new && has_long_lease(now))
    {
        held.full_at = now;
    }
    const auto early = m_early.find(key_of(server.engine));
    if (early != m_early.end())
    {
        accept(early->second.from, held, early->second.item, now);
        m_early.erase(early);
    }
    return held;
}

bool ownership_tracker::has_long_lease(time_point now) const
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

void ownership_tracker::lose(key engine, const holding& held, time_point now)
{
    const auto* slot = m_state.find_engine(engine);
    const auto* owner = slot == nullptr
                            ? nullptr
                            : m_view->owner_of(slot->record->server.engine);
    if (owner == nullptr)
    {
        return;
    }
    const auto load = load_of(engine);
    const auto inherited = held.inherited ? held.inherited->in_flight : 0;
    const auto to = key_of(owner->self.vm);
    m_passed_on[engine] = {to, load.in_flight};
    m_to_send[to].items.push_back({engine,
                                   number_of(held),
                                   load.in_flight + inherited,
                                   load.limit,
                                   is_full(held, now)});
}

void ownership_tracker::send_hand_overs()
{
    for (auto& [to, items] : m_to_send)
    {
        if (const auto* receiver = m_state.find_router(to))
        {
            m_out.send(
                receiver->record.self, traffic::ownership, std::move(items));
        }
    }
    m_to_send.clear();
}

void ownership_tracker::refute_removals(time_point now)
{
    const auto& lease = m_state.values().engine_lease;
    for (const auto& [engine, held] : m_holdings)
    {
        const auto* slot = m_state.find_engine(engine);
        if (slot == nullptr || !slot->record->gone ||
            slot->record->server.started != held.started || !held.renewed ||
            now - *held.renewed > lease)
        {
            continue;
        }
        auto record = std::make_shared<engine_record>(*slot->record);
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
        m_state.raise_clock(item.fencing.get() >> tag_bits);
        const auto found = m_holdings.find(item.engine);
        if (found == m_holdings.end())
        {
            m_early[item.engine] = {from, item, now};
            continue;
        }
        accept(from, found->second, item, now);
    }
}

void ownership_tracker::accept(key from,
                               holding& held,
                               const hand_over_item& item,
                               time_point now)
{
    if (from != held.former)
    {
        return;
    }
    const auto limit = held.inherited ? held.inherited->limit : item.limit;
    held.inherited = handed_over{item.in_flight, limit};
    held.inherited_at = now;
    if (item.full && !held.full_at)
    {
        held.full_at = now;
    }
}

void ownership_tracker::on_renewal(const renewal& item, time_point now)
{
    const auto found = m_holdings.find(item.engine);
    if (found == m_holdings.end() || found->second.started != item.started)
    {
        return;
    }
    auto& held = found->second;
    held.renewed = now;
    if (!held.first_renewed)
    {
        held.first_renewed = now;
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

bool ownership_tracker::is_alone(time_point now) const
{
    return now - m_last_heard > m_state.values().ownership_lease;
}

void ownership_tracker::watch_lease(time_point now)
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
    for (auto& [engine, held] : m_holdings)
    {
        regain(held, now);
    }
}

/// Another router may have owned the engine while the lease had lapsed.
void ownership_tracker::regain(holding& held, time_point now)
{
    held.gained = just_after(now);
    held.full_at.reset();
    held.stage = fencing_stage::reading;
    held.stage_began = held.gained;
}

void ownership_tracker::tick(time_point now)
{
    watch_lease(now);
    m_needs_quorum = false;
    std::uint64_t batch_clock = 0;
    for (auto& [engine, held] : m_holdings)
    {
        advance(held, now);
        advance_fencing(held, batch_clock, now);
    }
    report_modes(now);
    expire_engines(now);
    if (now >= m_next_report)
    {
        m_next_report = now + report_period;
        pass_on_loads(now);
    }
}

void ownership_tracker::advance(holding& held, time_point now)
{
    const auto& values = m_state.values();
    if (held.inherited && now - held.inherited_at > values.ownership_lease)
    {
        // The former owner is gone and its requests with it.
        held.inherited->in_flight = 0;
    }
    if (held.full_at)
    {
        return;
    }
    if (!m_quorum.since(held.gained))
    {
        m_needs_quorum = true;
        return;
    }
    if (!held.stand_in)
    {
        held.full_at = now + values.ownership_lease;
        return;
    }
    if (held.first_renewed)
    {
        // An engine that renews on this side lets its lease with a cut-off
        // owner run out.
        held.full_at = std::max(now + values.ownership_lease,
                                *held.first_renewed + values.engine_lease);
    }
}

void ownership_tracker::advance_fencing(holding& held,
                                        std::uint64_t& batch_clock,
                                        time_point now)
{
    if (held.stage == fencing_stage::known)
    {
        return;
    }
    if (!m_quorum.since(held.stage_began))
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
    held.stage_began = just_after(now);
    m_needs_quorum = true;
}

fencing_number ownership_tracker::number_of(const holding& held) const
{
    return fencing_number(held.clock << tag_bits |
                          (m_state.self_key() & tag_mask));
}

bool ownership_tracker::is_full(const holding& held, time_point now) const
{
    return holds_lease(now) && held.full_at && now >= *held.full_at;
}

ownership_mode ownership_tracker::mode_of(const holding& held,
                                          time_point now) const
{
    if (!m_state.active() || (held.stand_in && !held.first_renewed))
    {
        return ownership_mode::none;
    }
    if (holds_lease(now))
    {
        return is_full(held, now) ? ownership_mode::full
                                  : ownership_mode::limited;
    }
    const bool hears_engine =
        held.renewed && now - *held.renewed < m_state.values().engine_lease;
    return is_alone(now) && hears_engine && !held.stand_in
               ? ownership_mode::limited
               : ownership_mode::none;
}

ownership ownership_tracker::standing(key engine, time_point now) const
{
    const auto found = m_holdings.find(engine);
    if (found == m_holdings.end())
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
    const auto* slot = m_state.find_engine(engine);
    const bool checks = slot != nullptr && slot->record->server.checks_fencing;
    if (held.stage == fencing_stage::known)
    {
        result.fencing = number_of(held);
        result.may_order =
            holds_lease(now) && (checks || result.mode == ownership_mode::full);
    }
    return result;
}

void ownership_tracker::report_modes(time_point now)
{
    for (auto& [engine, held] : m_holdings)
    {
        const auto mode = mode_of(held, now);
        if (mode == held.reported)
        {
            continue;
        }
        m_out.add(ownership_changed{
            m_state.find_engine(engine)->record->server.engine,
            held.reported,
            mode});
        held.reported = mode;
    }
}

void ownership_tracker::expire_engines(time_point now)
{
    if (now < m_next_expiry || !holds_lease(now))
    {
        return;
    }
    m_next_expiry = now + report_period;
    for (const auto& [engine, held] : m_holdings)
    {
        const auto last =
            held.renewed ? std::max(*held.renewed, held.gained) : held.gained;
        const auto* slot = m_state.find_engine(engine);
        if (slot == nullptr || slot->record->gone ||
            now - last <= m_state.values().engine_lease)
        {
            continue;
        }
        auto record = std::make_shared<engine_record>(*slot->record);
        record->gone = true;
        ++record->version;
        m_state.merge(engine_ptr(std::move(record)), now);
    }
}

void ownership_tracker::pass_on_loads(time_point now)
{
    const auto is_old = [&](const auto& item)
    {
        return now - item.second.received > m_state.values().ownership_lease;
    };
    std::erase_if(m_early, is_old);
    for (auto i = m_passed_on.begin(); i != m_passed_on.end();)
    {
        auto& [engine, one] = *i;
        const auto load = load_of(engine);
        if (load.in_flight > 0 || one.reported > 0)
        {
            m_to_send[one.to].items.push_back(
                {engine, fencing_number(0), load.in_flight, load.limit, false});
        }
        one.reported = load.in_flight;
        const bool ended = load.in_flight == 0;
        if (ended && !m_holdings.contains(engine))
        {
            m_loads.erase(engine);
        }
        i = ended ? m_passed_on.erase(i) : std::next(i);
    }
    send_hand_overs();
}

load_rows ownership_tracker::own_rows() const
{
    load_rows rows;
    const auto add = [&](key engine, const engine_load& load, bool owned)
    {
        const auto* slot = m_state.find_engine(engine);
        if (slot == nullptr)
        {
            return;
        }
        const bool eligible =
            owned && load.eligible && slot->record->accepts_work();
        for (const auto& model : slot->record->server.models)
        {
            auto& row = rows[key_of(model)];
            row.in_flight += load.in_flight;
            row.eligible += eligible ? 1 : 0;
        }
    };
    for (const auto& [engine, held] : m_holdings)
    {
        add(engine, load_of(engine), true);
    }
    for (const auto& [engine, one] : m_passed_on)
    {
        if (!m_holdings.contains(engine))
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
           m_holdings.size() * (map_node_bytes + sizeof(holding)) +
           m_loads.size() * (map_node_bytes + sizeof(engine_load)) +
           m_passed_on.size() * (map_node_bytes + sizeof(passed_on)) +
           m_early.size() * (map_node_bytes + sizeof(early_hand_over));
}

} // namespace limpet::membership
