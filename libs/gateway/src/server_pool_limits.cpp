#include <limpet/base/log.hpp>
#include <limpet/gateway/server_pool.hpp>
#include <limpet/placement/limit_share.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::gateway
{

namespace
{

/// A limit that differs by less than this fraction from the known one counts as
/// the same, so that a server that computes it anew for each answer does not
/// cause a message to all routers each time.
constexpr double smallest_limit_change = 0.1;
/// Time for which a router may save up requests that a limit allows. Requests
/// arrive unevenly; with all routers' savings a server gets an eighth more in
/// four seconds.
constexpr double max_saved_seconds = 0.5;
/// Limits are exchanged in thousandths of requests a second.
constexpr double rate_units_per_request = 1000;

double to_exchanged_rate(double limit)
{
    return std::round(limit * rate_units_per_request) / rate_units_per_request;
}

bool is_about_equal(double a, double b)
{
    return std::abs(a - b) <= smallest_limit_change * b;
}

} // namespace

void server_pool::set_router_names(const vm_id& self, std::set<vm_id> routers)
{
    m_self = self;
    m_router_names = std::move(routers);
    ++m_router_changes;
}

bool server_pool::is_limited(const server_record& each) const
{
    const auto* limit = m_limits.find(each.start_key.get());
    return limit != nullptr && limit->rate;
}

std::size_t server_pool::limited_servers() const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(),
                                                  m_servers.end(),
                                                  [this](const auto& each)
                                                  {
                                                      return is_limited(
                                                          each.second);
                                                  }));
}

/// Returns the limit with the turn that has come by now, as no answer has
/// confirmed the turns before.
directory::server_limit
server_pool::current_turn(const directory::server_limit& limit,
                          time_point now) const
{
    directory::server_limit current = limit;
    const duration unconfirmed =
        std::max(duration::zero(), now - limit.confirmed_at);
    current.turn += static_cast<std::uint32_t>(
        unconfirmed / placement::limit_turn_length(*limit.rate));
    return current;
}

double server_pool::share_of_limit(const server_record& each,
                                   const directory::server_limit& limit) const
{
    return m_router_names.empty()
               ? std::max(*limit.rate, placement::min_limited_rate) / m_routers
               : placement::limit_share(*limit.rate,
                                        each.start_key.get(),
                                        limit.turn,
                                        m_self,
                                        m_router_names);
}

/// Computes this router's share of the server's limit anew if something that it
/// depends on has changed.
void server_pool::update_limit_share(server_record& each, time_point now)
{
    const auto current =
        current_turn(*m_limits.find(each.start_key.get()), now);
    if (each.shared_limit && is_same_limit(*each.shared_limit, current) &&
        each.shared_among == m_router_changes)
    {
        return;
    }
    const double share = share_of_limit(each, current);
    if (each.limit_share <= 0)
    {
        // Other routers sent to the server until now, perhaps still do.
        each.limited_requests = admission::token_bucket();
    }
    each.limit_share = share;
    each.shared_limit = current;
    each.shared_among = m_router_changes;
}

/// Returns whether the server's limit, if it names one, allows this router a
/// request now.
bool server_pool::has_limited_capacity(server_record& each,
                                       const server_query& query,
                                       time_point now)
{
    if (!is_limited(each))
    {
        each.limit_share = 0;
        each.shared_limit.reset();
        return true;
    }
    update_limit_share(each, now);
    each.limited_requests.refill(
        each.limit_share,
        std::max(1.0, each.limit_share * max_saved_seconds),
        now);
    return query.reserved == each.registration.id ||
           (each.limit_share > 0 && each.limited_requests.has_token());
}

/// Returns the mean load of the servers without limits, as the low loads of the
/// others would keep these from taking what the others cannot; of all servers
/// if all have limits.
double server_pool::mean_load_of(const std::vector<server_record*>& candidates,
                                 time_point now) const
{
    double all = 0;
    double unlimited = 0;
    std::size_t unlimited_count = 0;
    for (const server_record* each : candidates)
    {
        const double load = load_of(*each, now);
        all += load;
        if (!is_limited(*each))
        {
            unlimited += load;
            ++unlimited_count;
        }
    }
    return unlimited_count > 0
               ? unlimited / static_cast<double>(unlimited_count)
               : all / static_cast<double>(candidates.size());
}

bool server_pool::are_all_limited(
    const std::vector<server_record*>& candidates) const
{
    return std::all_of(candidates.begin(),
                       candidates.end(),
                       [this](const server_record* each)
                       {
                           return is_limited(*each);
                       });
}

limit_forecast server_pool::forecast_limits(const server_query& query,
                                            time_point now)
{
    limit_forecast result;
    for (server_record* each : usable(query, now))
    {
        if (!is_limited(*each))
        {
            // A slot takes about one request a second.
            result.mean_rate += find_brittle(each->service, now) != nullptr
                                    ? capacity_of(*each) / m_routers
                                    : 0;
            continue;
        }
        has_limited_capacity(*each, query, now);
        const double rate = *m_limits.find(each->start_key.get())->rate;
        result.mean_rate +=
            std::max(rate, placement::min_limited_rate) / m_routers;
        if (each->own_requests >= capacity_of(*each))
        {
            continue;
        }
        const auto wait =
            each->limited_requests.time_to_token(each->limit_share);
        if (wait && (!result.next || now + *wait < result.next->at))
        {
            result.next = {each->registration.id, now + *wait};
        }
    }
    return result;
}

void server_pool::reserve(const limit_reservation& reserved)
{
    const auto found = m_servers.find(reserved.server);
    if (found != m_servers.end())
    {
        found->second.limited_requests.reserve();
    }
}

void server_pool::on_limit(const engine_id& id,
                           std::optional<double> limit,
                           time_point sent_at,
                           time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return;
    }
    const server_record& each = found->second;
    const auto* known = m_limits.find(each.start_key.get());
    if (known != nullptr && known->is_leaving)
    {
        return;
    }
    const bool is_known = known != nullptr && known->rate;
    // The limit may have begun after a request that names none was sent.
    if (!limit && (!is_known || sent_at <= known->confirmed_at))
    {
        return;
    }
    directory::server_limit next{each.start_key.get(), 1, {}, 0, now};
    if (known != nullptr)
    {
        next.revision = known->revision;
        next.turn = known->turn;
    }
    if (limit && is_known)
    {
        next.rate = known->rate;
        if (share_of_limit(each, next) <= 0)
        {
            next.turn = current_turn(*known, now).turn;
        }
    }
    if (limit && (!is_known || !is_about_equal(*limit, *known->rate)))
    {
        next.rate = to_exchanged_rate(*limit);
    }
    const bool is_changed = known != nullptr && !is_same_limit(next, *known);
    if (known == nullptr || is_changed)
    {
        next.revision += is_changed ? 1 : 0;
        log_event(log_level::info,
                  "limit.changed",
                  {{"engine", id.get()},
                   {"limit", next.rate ? std::to_string(*next.rate) : "none"},
                   {"revision", next.revision},
                   {"turn", next.turn}});
    }
    m_limits.set(next);
}

} // namespace limpet::gateway
