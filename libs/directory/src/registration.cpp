#include <limpet/base/hash.hpp>
#include <limpet/directory/registration.hpp>

#include <algorithm>
#include <tuple>

namespace limpet::directory
{

namespace
{

/// Smaller differences between the ends of a cold period are attributed to
/// network delay.
constexpr duration cold_tolerance = milliseconds(500);

/// Returns a key that orders registrations of one id: by the start, then gone
/// after any other state, then by sequence.
auto version_of(const registration& each)
{
    return std::make_tuple(
        each.born_ms, each.state == server_state::gone, each.sequence);
}

/// Returns whether both are the same registration, possibly received on
/// different paths.
bool is_same_registration(const registration& a, const registration& b)
{
    return a.born_ms == b.born_ms && a.sequence == b.sequence;
}

bool differs(const registration& current, const registration& incoming)
{
    const duration cold_shift = current.cold_until > incoming.cold_until
                                    ? current.cold_until - incoming.cold_until
                                    : incoming.cold_until - current.cold_until;
    const bool cold_changed = cold_shift > cold_tolerance &&
                              incoming.cold_until > incoming.heard_at &&
                              !is_same_registration(current, incoming);
    return current.born_ms != incoming.born_ms ||
           current.state != incoming.state ||
           current.address != incoming.address ||
           current.service != incoming.service ||
           current.data_centre != incoming.data_centre ||
           current.slots != incoming.slots ||
           current.version != incoming.version || cold_changed;
}

/// Returns whether the registration has only what identifies a server that is
/// gone.
bool is_partial(const registration& each)
{
    return each.state == server_state::gone && each.address.empty();
}

/// Returns the partial registration with the other fields of the current one.
registration complete(const registration& partial, const registration& current)
{
    registration result = current;
    result.born_ms = partial.born_ms;
    result.sequence = partial.sequence;
    result.state = partial.state;
    result.heard_at = partial.heard_at;
    return result;
}

/// Returns a hash of the fields whose change is sent to routers, except the
/// end of a cold period, of which each copy is slightly different.
std::uint32_t digest_of(const registration& each)
{
    if (each.state == server_state::gone)
    {
        return 0;
    }
    std::uint64_t result =
        combine_hashes(each.born_ms,
                       (std::uint64_t{each.slots} << 8U) |
                           static_cast<std::uint64_t>(each.state));
    for (const std::string_view text :
         {std::string_view(each.id.get()),
          std::string_view(each.address),
          std::string_view(each.service),
          std::string_view(each.data_centre.get()),
          std::string_view(each.version)})
    {
        result = combine_hashes(result, stable_hash(text));
    }
    return static_cast<std::uint32_t>(result);
}

} // namespace

bool is_leaving(const registration& server) noexcept
{
    return server.state == server_state::draining ||
           server.state == server_state::gone;
}

bool is_older(const registration& a, const registration& b)
{
    return version_of(a) < version_of(b);
}

std::size_t digest_index(const engine_id& id) noexcept
{
    return stable_hash(id.get()) % digest_count;
}

heartbeat heartbeat_of(const registration& server)
{
    return {combine_hashes(stable_hash(server.id.get()), server.born_ms),
            server.sequence,
            server.heard_at};
}

std::string_view to_string(server_state state) noexcept
{
    switch (state)
    {
    case server_state::ready:
        return "ready";
    case server_state::draining:
        return "draining";
    case server_state::gone:
        return "gone";
    case server_state::silent:
        return "silent";
    }
    return "unknown";
}

std::string_view to_string(merge_result result) noexcept
{
    switch (result)
    {
    case merge_result::changed:
        return "changed";
    case merge_result::refreshed:
        return "refreshed";
    case merge_result::stale:
        return "stale";
    case merge_result::full:
        return "full";
    case merge_result::ambiguous:
        return "ambiguous";
    }
    return "unknown";
}

merge_result registration_table::merge(const registration& incoming)
{
    const auto found = m_entries.find(incoming.id);
    if (found != m_entries.end() && is_partial(incoming) &&
        !found->second.value.address.empty())
    {
        return merge(complete(incoming, found->second.value));
    }
    if (found == m_entries.end() && m_entries.size() >= max_servers)
    {
        return merge_result::full;
    }
    if (found == m_entries.end())
    {
        entry& added = m_entries[incoming.id];
        added.value = incoming;
        record_change(added);
        retire_previous_owner(incoming);
        return merge_result::changed;
    }
    registration& current = found->second.value;
    if (is_older(incoming, current))
    {
        return merge_result::stale;
    }
    if (incoming.state == server_state::silent &&
        current.heard_at > incoming.heard_at)
    {
        return merge_result::stale;
    }
    const bool is_change = differs(current, incoming);
    if (incoming.born_ms > current.born_ms &&
        incoming.state != server_state::gone)
    {
        found->second.replaced_at = incoming.heard_at;
    }
    const time_point heard_at = std::max(current.heard_at, incoming.heard_at);
    // The remaining cold time is sent as a span that counts from its arrival,
    // so the copy with the shortest delay is the most accurate.
    const time_point cold_until =
        is_same_registration(current, incoming)
            ? std::min(current.cold_until, incoming.cold_until)
            : incoming.cold_until;
    current = incoming;
    current.heard_at = heard_at;
    current.cold_until = cold_until;
    if (!is_change)
    {
        return merge_result::refreshed;
    }
    record_change(found->second);
    retire_previous_owner(incoming);
    return merge_result::changed;
}

void registration_table::record_change(entry& changed)
{
    m_by_change.erase(changed.change);
    changed.change = ++m_changes;
    m_by_change[changed.change] = &changed;
    m_by_key.erase(changed.key);
    changed.key = heartbeat_of(changed.value).server;
    m_by_key[changed.key] = &changed;
    update_digest(changed);
}

void registration_table::update_digest(entry& changed)
{
    std::uint32_t& digest = m_digests[digest_index(changed.value.id)];
    digest ^= changed.digest;
    changed.digest = digest_of(changed.value);
    digest ^= changed.digest;
}

void registration_table::retire_previous_owner(const registration& owner)
{
    if (owner.state == server_state::gone)
    {
        return;
    }
    const auto [address_owner, is_new] =
        m_address_owners.emplace(owner.address, owner.id);
    if (is_new || address_owner->second == owner.id)
    {
        return;
    }
    const auto previous = m_entries.find(address_owner->second);
    if (previous != m_entries.end() &&
        previous->second.value.address == owner.address &&
        previous->second.value.born_ms > owner.born_ms)
    {
        // A late registration of the address's previous owner.
        entry& late_entry = m_entries[owner.id];
        late_entry.value.state = server_state::gone;
        update_digest(late_entry);
        return;
    }
    if (previous != m_entries.end() &&
        previous->second.value.address == owner.address &&
        previous->second.value.state != server_state::gone)
    {
        previous->second.value.state = server_state::gone;
        record_change(previous->second);
    }
    address_owner->second = owner.id;
}

bool registration_table::record_heartbeat(const heartbeat& incoming)
{
    const auto found = m_by_key.find(incoming.server);
    if (found == m_by_key.end())
    {
        return false;
    }
    registration& current = found->second->value;
    if (current.state == server_state::gone ||
        incoming.heard_at <= current.heard_at)
    {
        return false;
    }
    current.heard_at = incoming.heard_at;
    current.sequence = std::max(current.sequence, incoming.sequence);
    if (current.state != server_state::silent)
    {
        return false;
    }
    current.state = server_state::ready;
    record_change(*found->second);
    return true;
}

bool registration_table::is_start_ambiguous(const engine_id& id,
                                            time_point now) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() &&
           found->second.value.state != server_state::gone &&
           found->second.replaced_at &&
           now < *found->second.replaced_at + late_message_time;
}

merge_result registration_table::leave(const engine_id& id, time_point now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() ||
        found->second.value.state == server_state::gone)
    {
        return merge_result::stale;
    }
    if (is_start_ambiguous(id, now))
    {
        return merge_result::ambiguous;
    }
    found->second.value.state = server_state::gone;
    found->second.value.heard_at = now;
    record_change(found->second);
    return merge_result::changed;
}

void registration_table::mark_silent(time_point since)
{
    for (auto& [id, each] : m_entries)
    {
        if (each.value.state == server_state::ready &&
            each.value.heard_at < since)
        {
            each.value.state = server_state::silent;
            record_change(each);
        }
    }
}

void registration_table::forget_silent(time_point since)
{
    std::erase_if(m_address_owners,
                  [this, since](const auto& address_owner)
                  {
                      const auto found = m_entries.find(address_owner.second);
                      return found == m_entries.end() ||
                             found->second.value.heard_at < since;
                  });
    std::erase_if(m_entries,
                  [this, since](const auto& each)
                  {
                      const bool is_old = each.second.value.heard_at < since;
                      if (is_old)
                      {
                          m_by_change.erase(each.second.change);
                          m_by_key.erase(each.second.key);
                          m_digests[digest_index(each.first)] ^=
                              each.second.digest;
                      }
                      return is_old;
                  });
}

const registration* registration_table::find(const engine_id& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.value;
}

void registration_table::for_each(const visitor& visit) const
{
    for (const auto& [id, each] : m_entries)
    {
        visit(each.value);
    }
}

std::uint64_t registration_table::changes_after(std::uint64_t number,
                                                const change_visitor& visit,
                                                std::uint64_t until,
                                                std::uint64_t limit) const
{
    std::uint64_t visited = 0;
    std::uint64_t last = number;
    for (auto each = m_by_change.upper_bound(number);
         each != m_by_change.end() && each->first <= until;
         ++each)
    {
        if (visited == limit)
        {
            return last;
        }
        last = each->first;
        visit(each->second->value, each->first);
        ++visited;
        ++m_rows_examined;
    }
    return std::max(number, std::min(until, m_changes));
}

} // namespace limpet::directory
