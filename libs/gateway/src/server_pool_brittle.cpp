#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/gateway/server_pool.hpp>
#include <limpet/placement/limit_share.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace
{

/// What is known of a service is exchanged as an entry of the servers' limits,
/// under keys of its own.
constexpr std::uint64_t brittle_key_seed = 0x6272'6974'746c'6531;
constexpr std::uint64_t full_key_seed = 0x6272'6974'746c'6532;
/// Time after which other routers may be refused, so that each router has its
/// turn. Of routers whose turns overlap for a moment, the new one sends nothing
/// at first.
constexpr duration turn_length = seconds(6);
/// Time after the beginning of a turn for which servers count as brittle
/// without another answer that says so.
constexpr duration brittle_validity = seconds(10);
/// Time after a refusal for which the service counts as full, and the interval
/// at which refusals are told to others.
constexpr duration full_validity = seconds(5);
constexpr duration full_interval = milliseconds(500);
/// Time for which a router may replace a request that has ended at a server, if
/// the service is full and if there is room.
constexpr duration replacement_time = milliseconds(500);
constexpr duration open_replacement_time = seconds(1);
/// Fraction of its allowed requests that a router sends evenly, and that it
/// may save up. So it sends no more than it may in any second.
constexpr double even_fraction = 0.5;
/// Load, as a fraction of the slots, up to which requests are sent without
/// regard to refusals if there were none lately.
constexpr double open_fraction = 0.5;
/// What all routers may send in a second to a server with much room, as a
/// multiple of its slots: little to a start that all learn of at the same time,
/// and after refusals, as more requests may come than the servers can run.
constexpr double open_rate = 4;
constexpr double low_open_rate = 1;
constexpr duration start_length = seconds(5);
constexpr duration calm_after = seconds(20);
/// Load that is aimed at, as a fraction of the slots: the load from other
/// routers is known with a delay, and none may wait.
constexpr double used_fraction = 0.9;
/// Time for which a report of waiting requests counts.
constexpr duration waiting_validity = seconds(1);

std::uint64_t brittle_key(origins::service_key service)
{
    return combine_hashes(brittle_key_seed, service.get());
}

std::uint64_t full_key(origins::service_key service)
{
    return combine_hashes(full_key_seed, service.get());
}

} // namespace

/// Returns the entry of a service whose servers are brittle.
const directory::server_limit*
server_pool::find_brittle(origins::service_key service, time_point now) const
{
    const auto* known = m_limits.find(brittle_key(service));
    const bool is_valid = known != nullptr && known->rate &&
                          now < known->confirmed_at + brittle_validity;
    return is_valid ? known : nullptr;
}

bool server_pool::is_brittle(const engine_id& id, time_point now) const
{
    const auto found = m_servers.find(id);
    return found != m_servers.end() &&
           find_brittle(found->second.service, now) != nullptr;
}

void server_pool::on_brittle(const engine_id& id,
                             std::optional<double> refusals_per_s,
                             time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || !refusals_per_s)
    {
        return;
    }
    const server_record& each = found->second;
    const auto* known = m_limits.find(brittle_key(each.service));
    const bool was_brittle = find_brittle(each.service, now) != nullptr;
    const bool is_turn_over =
        !was_brittle || now >= known->confirmed_at + turn_length;
    if (!is_turn_over && *refusals_per_s >= *known->rate)
    {
        return;
    }
    directory::server_limit next{
        brittle_key(each.service), 1, refusals_per_s, 0, now};
    if (known != nullptr)
    {
        next.revision = known->revision + 1;
        next.turn = known->turn + (is_turn_over ? 1 : 0);
        next.confirmed_at = is_turn_over ? now : known->confirmed_at;
    }
    if (!was_brittle)
    {
        log_event(log_level::info,
                  "service.brittle",
                  {{"service", each.registration.service},
                   {"engine", id.get()},
                   {"refusals_per_s", *refusals_per_s}});
    }
    m_limits.set(next);
}

/// Tells the other routers that a brittle server refused a request.
void server_pool::record_full(const server_record& each, time_point now)
{
    const auto* known = m_limits.find(full_key(each.service));
    if (known == nullptr || now >= known->confirmed_at + full_interval)
    {
        directory::server_limit next{full_key(each.service), 1, {}, 0, now};
        next.revision = known == nullptr ? 1 : known->revision + 1;
        next.is_closed = true;
        m_limits.set(next);
    }
}

/// Returns whether a brittle server of the service refused a request of any
/// router in the time before.
bool server_pool::was_refused_within(origins::service_key service,
                                     duration time,
                                     time_point now) const
{
    const auto* known = m_limits.find(full_key(service));
    return known != nullptr && now < known->confirmed_at + time;
}

/// Lets the router replace a request that has ended at a brittle server, if
/// none waits there for the same room.
void server_pool::allow_replacement(server_record& each, time_point now)
{
    if (find_brittle(each.service, now) != nullptr &&
        !has_waiting_requests(each, now))
    {
        each.replacements.push_back(now);
    }
}

bool server_pool::has_waiting_requests(const server_record& each,
                                       time_point now)
{
    return each.waiting_requests > 0 &&
           now < each.load_reported_at + waiting_validity;
}

/// Takes from what this router may send to a brittle server.
void server_pool::take_brittle_capacity(server_record& each)
{
    if (each.replacements.empty())
    {
        each.brittle.requests.take();
    }
    else
    {
        each.replacements.pop_front();
    }
}

/// Returns this router's share of what all may send in a second.
double server_pool::share_of_allowed(const server_record& each,
                                     double allowed,
                                     std::uint32_t turn) const
{
    return m_router_names.empty() ? allowed / m_routers
                                  : placement::limit_share(allowed,
                                                           each.start_key.get(),
                                                           turn,
                                                           m_self,
                                                           m_router_names);
}

/// Computes this router's shares anew if something that they depend on has
/// changed.
void server_pool::update_brittle_shares(server_record& each,
                                        const directory::server_limit& known,
                                        time_point now)
{
    brittle_allowance& own = each.brittle;
    const bool is_calm = now >= each.known_since + start_length &&
                         !was_refused_within(each.service, calm_after, now);
    const double open =
        (is_calm ? open_rate : low_open_rate) * capacity_of(each);
    if (own.refusals == known.rate && own.open_rate == open &&
        own.turn == known.turn && own.shared_among == m_router_changes)
    {
        return;
    }
    if (known.turn != own.turn && known.turn != own.turn + 1)
    {
        own.share = 0;
    }
    own.refusals = known.rate;
    own.open_rate = open;
    own.turn = known.turn;
    own.shared_among = m_router_changes;
    own.full_share = share_of_allowed(each, *known.rate, known.turn);
    own.open_share =
        share_of_allowed(each, std::max(open, *known.rate), known.turn);
}

/// Returns whether this router may send a request to the server, if it is
/// brittle. A request that replaces one that has ended finds room, unless
/// another router's has taken it. Each of the others may be refused or make one
/// other be refused, so that of all routers together no more are sent in a
/// second than the server may refuse.
bool server_pool::has_brittle_capacity(server_record& each, time_point now)
{
    const auto* known = find_brittle(each.service, now);
    if (known == nullptr)
    {
        each.brittle.share = 0;
        each.replacements.clear();
        return true;
    }
    const double load = load_of(each, now);
    const double slots = capacity_of(each);
    const bool is_open = load < open_fraction * slots &&
                         !was_refused_within(each.service, full_validity, now);
    const duration replaced_within =
        is_open ? open_replacement_time : replacement_time;
    while (!each.replacements.empty() &&
           each.replacements.front() + replaced_within < now)
    {
        each.replacements.pop_front();
    }
    if (load >= std::max(1.0, used_fraction * slots) ||
        has_waiting_requests(each, now))
    {
        return false;
    }
    if (!each.replacements.empty())
    {
        return true;
    }
    update_brittle_shares(each, *known, now);
    brittle_allowance& own = each.brittle;
    const double share = is_open ? own.open_share : own.full_share;
    if (own.share <= 0)
    {
        // Other routers sent to the server until now, perhaps still do.
        own.requests = admission::token_bucket();
    }
    own.share = share;
    own.requests.refill((is_open ? 1 : even_fraction) * share,
                        std::max(1.0, even_fraction * share),
                        now);
    return share > 0 && own.requests.has_token();
}

} // namespace limpet::gateway
