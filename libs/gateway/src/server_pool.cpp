#include <limpet/base/hash.hpp>
#include <limpet/base/log.hpp>
#include <limpet/gateway/server_pool.hpp>
#include <limpet/http/endpoint.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace limpet::gateway
{

namespace
{

/// Cost of a failure rate of 1, in requests.
constexpr double failure_rate_cost = 12;
/// Slots assumed for a server that does not report them.
constexpr double default_slots = 8;
/// Load bound: servers with more than `load_factor` times the mean load plus
/// `load_slack` requests are not selected. Stricter than the operators'
/// definition of overload, since the load from other routers is known only with
/// a delay.
constexpr double load_factor = 1.4;
constexpr double load_slack = 3;
/// Requests that are sent to a server, as a multiple of its slots, where those
/// of all routers are known. Servers queue some more than they have slots,
/// refuse what they cannot queue, and are free again sooner than a refused
/// caller is back.
constexpr double max_queued_factor = 2;
/// Prompt tokens whose prefill costs as much as one more concurrent request.
/// Small, since a prefill stalls all requests of a server: placement follows
/// the prefix caches, and load takes effect only through the load bound.
constexpr double prefill_tokens_per_request = 25;
/// Cost of a server in another data centre, in requests.
constexpr double cross_data_centre_cost = 0.3;
/// Cost of a server that no longer sends heartbeats, in requests.
constexpr double silent_cost = 1000;
/// Expected fraction of a prompt's common tokens that the server at each
/// rendezvous rank has not cached, if this router has not sent them there
/// itself. Requests overflow from the first rank to the second and so on, so
/// the servers at the first ranks are often warm.
constexpr std::array<double, 5> uncached_by_rank = {0, 0.3, 0.6, 0.8, 1};

} // namespace

server_pool::server_pool(data_centre_id home)
    : m_home(std::move(home))
{
}

void server_pool::set_plan(std::shared_ptr<const directory::route_table> plan)
{
    m_plan = std::move(plan);
}

void server_pool::set_taken_out(std::set<std::string> data_centres)
{
    m_taken_out = std::move(data_centres);
}

void server_pool::set_routers(std::uint32_t count)
{
    m_routers = std::max<std::uint32_t>(1, count);
    ++m_router_changes;
}

/// Returns whether the server could be sent the request if it were not for its
/// failures and refusals.
bool server_pool::is_eligible(const server_record& each,
                              const server_query& query) const
{
    const auto state = each.registration.state;
    const bool accepts_requests = state == directory::server_state::ready ||
                                  state == directory::server_state::silent;
    return accepts_requests && each.has_valid_address && !each.is_leaving &&
           each.registration.service == query.service &&
           (!query.version || each.version == *query.version) &&
           !m_taken_out.contains(each.registration.data_centre.get()) &&
           std::find(query.excluded.begin(),
                     query.excluded.end(),
                     each.registration.id) == query.excluded.end();
}

bool server_pool::is_usable(const server_record& each,
                            const server_query& query,
                            time_point now) const
{
    return is_eligible(each, query) && each.backoff_until <= now &&
           each.refusals.may_send(now);
}

std::vector<server_pool::server_record*>
server_pool::usable(const server_query& query, time_point now)
{
    std::vector<server_record*> result;
    for (auto& [id, each] : m_servers)
    {
        if (is_usable(each, query, now))
        {
            result.push_back(&each);
        }
    }
    const auto first_unreachable = std::stable_partition(
        result.begin(),
        result.end(),
        [this, now](const server_record* each)
        {
            return !is_data_centre_unreachable(*each, now);
        });
    if (first_unreachable != result.begin())
    {
        result.erase(first_unreachable, result.end());
    }
    return result;
}

bool server_pool::is_data_centre_unreachable(const server_record& each,
                                             time_point now) const
{
    const auto found = m_reachability.find(each.registration.data_centre);
    return found != m_reachability.end() && now < found->second.backoff_until;
}

double server_pool::capacity_of(const server_record& each) const
{
    if (each.registration.slots > 0)
    {
        return each.registration.slots;
    }
    const auto* service =
        m_plan ? m_plan->find_service(each.registration.service) : nullptr;
    return service != nullptr && service->slots > 0
               ? static_cast<double>(service->slots)
               : default_slots;
}

/// Refills the server's cold-start token bucket and returns whether it holds a
/// token. Each router gets an equal share of the service's cold rate.
bool server_pool::has_cold_capacity(server_record& each, time_point now)
{
    const auto* service =
        m_plan ? m_plan->find_service(each.registration.service) : nullptr;
    if (each.registration.cold_until <= now || service == nullptr ||
        service->cold_rate <= 0)
    {
        return true;
    }
    each.cold_requests.refill(service->cold_rate / m_routers, 1, now);
    return each.cold_requests.has_token();
}

double server_pool::cost_of(const server_record& each,
                            const server_query& query,
                            std::size_t rank,
                            time_point now) const
{
    double cost = load_of(each, now) * slowdown_of(each, now);
    if (each.registration.data_centre != m_home)
    {
        cost += cross_data_centre_cost;
    }
    if (each.registration.state == directory::server_state::silent)
    {
        cost += silent_cost;
    }
    cost += failure_rate_cost * decayed_failure_rate(each, now);
    double uncached_tokens = 0;
    bool is_warm = true;
    for (const prompt_part& part : query.parts)
    {
        is_warm = is_warm && sent_at(each, part.id, now).has_value();
        uncached_tokens +=
            is_warm || &part == &query.parts.back() ? 0 : part.tokens;
    }
    const double uncached_fraction =
        uncached_by_rank[std::min(rank, uncached_by_rank.size() - 1)];
    return cost +
           uncached_tokens * uncached_fraction / prefill_tokens_per_request;
}

std::variant<chosen_server, selection_failure>
server_pool::choose(const server_query& query, time_point now)
{
    const std::vector<server_record*> candidates = usable(query, now);
    if (candidates.empty())
    {
        return time_to_opening(query, now) ? selection_failure::closed
                                           : selection_failure::no_server;
    }
    if (!m_rollouts)
    {
        return choose_among(candidates, query, now);
    }
    std::variant<chosen_server, selection_failure> result =
        selection_failure::no_server;
    for (const auto& group : rollout_groups(candidates, query, now))
    {
        if (!group.empty() && !std::holds_alternative<chosen_server>(result))
        {
            result = choose_among(group, query, now);
        }
    }
    return result;
}

/// Selects one of the servers, of which there must be some.
std::variant<chosen_server, selection_failure>
server_pool::choose_among(const std::vector<server_record*>& candidates,
                          const server_query& query,
                          time_point now)
{
    const double mean = mean_load_of(candidates, now);
    const double bound = load_factor * mean + load_slack;
    const bool knows_all_requests =
        load_source_of(*candidates.front(), now) == load_source::exchange;
    const double queued_factor = knows_all_requests ? max_queued_factor : 1;
    const std::vector<const server_record*> order = rendezvous_order(query);
    std::size_t rank = 0;
    std::map<const server_record*, std::size_t> ranks;
    for (const server_record* each : order)
    {
        if (each->registration.state == directory::server_state::ready)
        {
            ranks[each] = rank++;
        }
    }
    server_record* best = nullptr;
    double best_cost = 0;
    bool is_limit_reached = false;
    bool is_room_awaited = false;
    for (server_record* each : candidates)
    {
        const double load = load_of(*each, now);
        const double slots = capacity_of(*each);
        is_room_awaited |= each->own_requests > 0 ||
                           find_brittle(each->service, now) == nullptr;
        if (each->own_requests >= slots || load >= queued_factor * slots ||
            load > bound || !may_begin_stream(*each, query, now) ||
            !has_cold_capacity(*each, now) || !has_brittle_capacity(*each, now))
        {
            continue;
        }
        if (!has_limited_capacity(*each, query, now))
        {
            is_limit_reached = true;
            continue;
        }
        const auto found_rank = ranks.find(each);
        const double cost =
            cost_of(*each,
                    query,
                    found_rank == ranks.end() ? rank : found_rank->second,
                    now);
        if (query.reserved == each->registration.id)
        {
            best = each;
            break;
        }
        if (best == nullptr || cost < best_cost)
        {
            best = each;
            best_cost = cost;
        }
    }
    if (best == nullptr)
    {
        return !is_room_awaited ||
                       (is_limit_reached && are_all_limited(candidates))
                   ? selection_failure::limited
                   : selection_failure::no_room;
    }
    const auto best_rank = ranks.find(best);
    return chosen_server{best->registration.id,
                         best->address,
                         best->registration.version,
                         best->version,
                         best->start_key,
                         best->slowdown.has_value(),
                         find_copy_source(*best, query, order, now),
                         assess(*best,
                                mean,
                                bound,
                                best_rank == ranks.end()
                                    ? std::nullopt
                                    : std::optional(best_rank->second),
                                now)};
}

load_assessment server_pool::assess(const server_record& chosen,
                                    double mean_load,
                                    double load_bound,
                                    std::optional<std::size_t> rank,
                                    time_point now) const
{
    load_assessment result;
    result.assumed_load = load_of(chosen, now);
    result.own_requests = chosen.own_requests;
    result.source = load_source_of(chosen, now);
    if (result.source != load_source::none)
    {
        result.age = now - (result.source == load_source::exchange
                                ? m_load_peer_heard_at
                                : chosen.load_reported_at);
    }
    result.mean_load = mean_load;
    result.load_bound = load_bound;
    result.rank = rank;
    return result;
}

bool server_pool::was_registered_since(const server_record& each,
                                       time_point since)
{
    return each.registration.state != directory::server_state::gone ||
           each.left_at >= since;
}

std::optional<origins::version_key>
server_pool::only_version(origins::service_key service, time_point since) const
{
    std::set<origins::version_key> versions;
    for (const auto& [id, each] : m_servers)
    {
        if (each.service == service && was_registered_since(each, since))
        {
            versions.insert(each.version);
        }
    }
    for (const former_version& each : m_former_versions)
    {
        if (each.service == service && each.left_at >= since)
        {
            versions.insert(each.version);
        }
    }
    versions.merge(m_recorded_versions.recorded_since(service, since));
    return versions.size() == 1 &&
                   m_recorded_versions.is_possible(service, *versions.begin())
               ? std::optional(*versions.begin())
               : std::nullopt;
}

void server_pool::set_recorded_versions(const origins::version_sets& recorded,
                                        time_point now)
{
    m_recorded_versions.set(recorded, now);
}

bool server_pool::may_begin_stream(const server_record& each,
                                   const server_query& query,
                                   time_point now) const
{
    return !query.is_resumable || query.version ||
           m_recorded_versions.may_begin(
               each.service, each.version, each.known_since, now) ||
           only_version(each.service, time_point{}) == each.version;
}

std::set<origins::service_key> server_pool::services() const
{
    std::set<origins::service_key> result;
    for (const auto& [id, each] : m_servers)
    {
        result.insert(each.service);
    }
    return result;
}

std::uint32_t server_pool::requests_in_flight(const std::string& service) const
{
    std::uint32_t sum = 0;
    for (const auto& [id, each] : m_servers)
    {
        sum += each.registration.service == service ? each.own_requests : 0;
    }
    return sum;
}

} // namespace limpet::gateway
