#include "engine_registry.hpp"

#include <algorithm>

namespace limpet::membership
{

namespace
{

/// Number of changes of one engine that are accepted without a backoff.
constexpr std::uint8_t flaps_without_backoff = 3;
constexpr std::uint8_t max_flaps = 20;

bool same_description(const announcement& first, const announcement& second)
{
    return first.address == second.address && first.models == second.models &&
           first.slots == second.slots && first.kind == second.kind &&
           first.checks_fencing == second.checks_fencing &&
           first.data_centre == second.data_centre;
}

/// Returns the time for which an engine must have been unchanged before its
/// next change is accepted.
duration flap_backoff(const settings& values, std::uint8_t flaps)
{
    if (flaps < flaps_without_backoff)
    {
        return duration(0);
    }
    auto wait = values.hold_down;
    for (auto i = flaps_without_backoff;
         i < flaps && wait < values.max_hold_down;
         ++i)
    {
        wait *= 2;
    }
    return std::min(wait, values.max_hold_down);
}

std::uint8_t
next_flaps(const settings& values, const stored_engine& stored, time_point now)
{
    if (now - stored.changed_at > 2 * values.max_hold_down)
    {
        return 0;
    }
    const auto next = static_cast<std::uint8_t>(stored.record->flaps + 1);
    return std::min(next, max_flaps);
}

} // namespace

engine_registry::engine_registry(region_state& state,
                                 ownership_tracker& owned,
                                 outbox& out,
                                 time_point now)
    : m_state(state),
      m_owned(owned),
      m_out(out),
      m_next_forward(now)
{
}

outcome<announce_result> engine_registry::announce(const announcement& server,
                                                   time_point now)
{
    auto new_record = make_record(server, now);
    if (!is_ok(new_record))
    {
        return error_of(new_record);
    }
    const auto& record = value_of(new_record);
    const bool changed = m_state.merge(record, now);
    renew(*record, changed, now);
    const auto& values = m_state.values();
    announce_result result{values.engine_renewal, values.engine_lease, {}};
    const auto current = snapshot_with(server.engine);
    if (const auto* owner = current->owner_of(server.engine))
    {
        result.owner_address = owner->self.address;
    }
    return result;
}

std::optional<error> engine_registry::rejection_of(const announcement& server,
                                                   key name,
                                                   time_point now) const
{
    const auto* stored = m_state.find_engine(name);
    if (stored == nullptr)
    {
        const bool full =
            m_state.engines().size() >= m_state.values().max_engines;
        return full ? std::optional(error{
                          error_code::overloaded,
                          "the maximum number of backend servers is reached"})
                    : std::nullopt;
    }
    const auto& known = *stored->record;
    if (server.started < known.server.started)
    {
        return error{error_code::conflict,
                     "a later incarnation of the server is registered"};
    }
    const bool same = server.started == known.server.started;
    if (same && known.server.leaving && !server.leaving)
    {
        return error{error_code::conflict,
                     "this incarnation of the server has already left"};
    }
    const bool is_change =
        !same || known.gone || !same_description(server, known.server);
    const auto wait = flap_backoff(m_state.values(), known.flaps);
    if (is_change && !server.leaving && now - stored->changed_at < wait)
    {
        return error{error_code::overloaded,
                     "the server joins or changes too often; retry later"};
    }
    return std::nullopt;
}

outcome<engine_ptr> engine_registry::make_record(const announcement& server,
                                                 time_point now)
{
    const auto name = key_of(server.engine);
    if (auto refused = rejection_of(server, name, now))
    {
        return *refused;
    }
    auto record = std::make_shared<engine_record>();
    record->server = server;
    const auto* stored = m_state.find_engine(name);
    if (stored == nullptr)
    {
        return engine_ptr(std::move(record));
    }
    const auto& known = *stored->record;
    record->flaps = known.flaps;
    if (server.started > known.server.started)
    {
        record->flaps = next_flaps(m_state.values(), *stored, now);
        return engine_ptr(std::move(record));
    }
    record->version = known.version;
    if (server.leaving)
    {
        record->gone = known.gone;
    }
    else if (known.gone || !same_description(server, known.server))
    {
        ++record->version;
        record->flaps = next_flaps(m_state.values(), *stored, now);
    }
    return engine_ptr(std::move(record));
}

/// Returns the last snapshot if it contains the engine, else a current one.
/// Building a snapshot for each renewal would be costly, and the last snapshot
/// is sufficient to find the owner of an engine that it contains.
std::shared_ptr<const view>
engine_registry::snapshot_with(const engine_id& engine)
{
    const auto& last = m_owned.current();
    return last->find_engine(engine) == nullptr ? m_state.snapshot() : last;
}

void engine_registry::renew(const engine_record& record,
                            bool changed,
                            time_point now)
{
    const auto name = key_of(record.server.engine);
    const auto current = snapshot_with(record.server.engine);
    const auto* owner = current->owner_of(record.server.engine);
    const renewal item{name, record.server.started};
    if (owner == nullptr || key_of(owner->self.vm) == m_state.self_key())
    {
        m_owned.on_renewal(item, now);
        return;
    }
    if (!changed)
    {
        m_renewals[key_of(owner->self.vm)].items.push_back(item);
        return;
    }
    // A change is sent to the owner at once, as only the owner acts on it.
    updates changes;
    changes.engines.push_back(m_state.find_engine(name)->record);
    m_out.send(owner->self,
               traffic::announcements,
               renewals{{item}},
               std::move(changes));
}

void engine_registry::tick(time_point now)
{
    if (now < m_next_forward)
    {
        return;
    }
    m_next_forward = now + m_state.values().gossip_period;
    for (auto& [to, items] : m_renewals)
    {
        if (const auto* owner = m_state.find_router(to))
        {
            m_out.send(
                owner->record.self, traffic::announcements, std::move(items));
        }
    }
    m_renewals.clear();
}

} // namespace limpet::membership
