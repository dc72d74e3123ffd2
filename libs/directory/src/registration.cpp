#include <limpet/directory/registration.hpp>

#include <algorithm>
#include <tuple>

namespace limpet::directory
{

namespace
{

/// Cold spans that differ by less come from the delay of the news.
constexpr duration cold_tolerance = milliseconds(500);

/// Orders descriptions of one id: later start, then further on its way out,
/// then newer.
auto age_of(const registration& each)
{
    return std::make_tuple(
        each.born_ms, each.state == server_state::gone, each.sequence);
}

/// Returns whether both are the same description, perhaps by other ways.
bool is_copy(const registration& a, const registration& b)
{
    return a.born_ms == b.born_ms && a.sequence == b.sequence;
}

bool differs(const registration& held, const registration& news)
{
    const duration shift = held.cold_until > news.cold_until
                               ? held.cold_until - news.cold_until
                               : news.cold_until - held.cold_until;
    const bool cold_changed = shift > cold_tolerance &&
                              news.cold_until > news.heard_at &&
                              !is_copy(held, news);
    return held.born_ms != news.born_ms || held.state != news.state ||
           held.address != news.address || held.service != news.service ||
           held.data_centre != news.data_centre || held.slots != news.slots ||
           cold_changed;
}

} // namespace

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
    }
    return "unknown";
}

merge_result registration_table::merge(const registration& news)
{
    const auto known = m_rows.find(news.id);
    if (known == m_rows.end())
    {
        m_rows[news.id] = {news, ++m_changes};
        retire_former_holder(news);
        return merge_result::changed;
    }
    registration& held = known->second.value;
    if (age_of(news) < age_of(held))
    {
        return merge_result::stale;
    }
    if (news.state == server_state::silent && held.heard_at > news.heard_at)
    {
        return merge_result::stale;
    }
    const bool is_change = differs(held, news);
    const time_point heard = std::max(held.heard_at, news.heard_at);
    // A span that travels counts from its arrival: the copy that took the
    // shortest time is the truest.
    const time_point cold_until =
        is_copy(held, news) ? std::min(held.cold_until, news.cold_until)
                            : news.cold_until;
    held = news;
    held.heard_at = heard;
    held.cold_until = cold_until;
    if (!is_change)
    {
        return merge_result::refreshed;
    }
    known->second.change = ++m_changes;
    retire_former_holder(news);
    return merge_result::changed;
}

void registration_table::retire_former_holder(const registration& holder)
{
    if (holder.state == server_state::gone)
    {
        return;
    }
    const auto [place, is_new] = m_addresses.emplace(holder.address, holder.id);
    if (is_new || place->second == holder.id)
    {
        return;
    }
    const auto former = m_rows.find(place->second);
    if (former != m_rows.end() &&
        former->second.value.address == holder.address &&
        former->second.value.born_ms > holder.born_ms)
    {
        // The late news is of the former holder of the address.
        row& late = m_rows[holder.id];
        late.value.state = server_state::gone;
        return;
    }
    if (former != m_rows.end() &&
        former->second.value.address == holder.address &&
        former->second.value.state != server_state::gone)
    {
        former->second.value.state = server_state::gone;
        former->second.change = ++m_changes;
    }
    place->second = holder.id;
}

merge_result registration_table::leave(const engine_id& id, time_point now)
{
    const auto known = m_rows.find(id);
    if (known == m_rows.end() ||
        known->second.value.state == server_state::gone)
    {
        return merge_result::stale;
    }
    known->second.value.state = server_state::gone;
    known->second.value.heard_at = now;
    known->second.change = ++m_changes;
    return merge_result::changed;
}

void registration_table::mark_silent(time_point since)
{
    for (auto& [id, each] : m_rows)
    {
        if (each.value.state == server_state::ready &&
            each.value.heard_at < since)
        {
            each.value.state = server_state::silent;
            each.change = ++m_changes;
        }
    }
}

void registration_table::forget_silent(time_point since)
{
    std::erase_if(m_addresses,
                  [this, since](const auto& place)
                  {
                      const auto known = m_rows.find(place.second);
                      return known == m_rows.end() ||
                             known->second.value.heard_at < since;
                  });
    std::erase_if(m_rows,
                  [since](const auto& each)
                  {
                      return each.second.value.heard_at < since;
                  });
}

const registration* registration_table::find(const engine_id& id) const
{
    const auto known = m_rows.find(id);
    return known == m_rows.end() ? nullptr : &known->second.value;
}

void registration_table::for_each(const visitor& visit) const
{
    for (const auto& [id, each] : m_rows)
    {
        visit(each.value);
    }
}

std::uint64_t registration_table::changes_after(std::uint64_t number,
                                                const visitor& visit) const
{
    for (const auto& [id, each] : m_rows)
    {
        if (each.change > number)
        {
            visit(each.value);
        }
    }
    return m_changes;
}

} // namespace limpet::directory
