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

/// A statement of load is halved in weight after this time, about the length
/// of a short request; after longer where many routers share the servers, as
/// each hears of a server more seldom.
constexpr duration statement_half_life = seconds(1);
constexpr std::uint32_t routers_of_half_life = 9;
/// Cost of a server all of whose requests fail, in requests.
constexpr double failing_cost = 12;
/// Slots of a server that does not state them.
constexpr double default_slots = 8;
/// Load of one server over the mean that no choice exceeds, by factor and
/// by count. Below what operators count as overload, as loads of other
/// routers are known late.
constexpr double load_factor = 1.7;
constexpr double load_slack = 3;
/// Prompt tokens whose reading costs as much as one more request beside
/// others. Small, since reading halts all requests of a server: where prompts
/// go is decided by who holds them, and by load only through the bound.
constexpr double tokens_per_request = 100;
/// Cost of a server in another data centre, in requests.
constexpr double distance_cost = 0.3;
/// Cost of a server that was not heard of lately, in requests.
constexpr double silence_cost = 1000;
/// Part of a prompt's shared tokens that a server of each rank probably lacks
/// while this router has not sent them there itself. Requests overflow from
/// the first rank to the second and so on, so a high rank is often warm.
constexpr std::array<double, 5> unread_by_rank = {0, 0.3, 0.6, 0.8, 1};

double statement_weight(duration age, std::uint32_t routers)
{
    const double scale =
        std::max(1.0, static_cast<double>(routers) / routers_of_half_life);
    return std::exp2(-to_seconds(age) /
                     (scale * to_seconds(statement_half_life)));
}

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
}

bool server_pool::is_usable(const row& each,
                            const server_query& query,
                            time_point now) const
{
    const auto state = each.known.state;
    const bool takes_work = state == directory::server_state::ready ||
                            state == directory::server_state::silent;
    return takes_work && each.is_reachable &&
           each.known.service == query.service &&
           !m_taken_out.contains(each.known.data_centre.get()) &&
           each.rests_until <= now &&
           std::find(query.excluded.begin(),
                     query.excluded.end(),
                     each.known.id) == query.excluded.end();
}

std::vector<server_pool::row*> server_pool::usable(const server_query& query,
                                                   time_point now)
{
    std::vector<row*> result;
    for (auto& [id, each] : m_rows)
    {
        if (is_usable(each, query, now))
        {
            result.push_back(&each);
        }
    }
    const auto first_cut =
        std::stable_partition(result.begin(),
                              result.end(),
                              [this, now](const row* each)
                              {
                                  return !is_cut_off(*each, now);
                              });
    if (first_cut != result.begin())
    {
        result.erase(first_cut, result.end());
    }
    return result;
}

bool server_pool::is_cut_off(const row& each, time_point now) const
{
    const auto known = m_ways.find(each.known.data_centre);
    return known != m_ways.end() && now < known->second.rests_until;
}

double server_pool::capacity_of(const row& each) const
{
    if (each.known.slots > 0)
    {
        return each.known.slots;
    }
    const auto* service =
        m_plan ? m_plan->find_service(each.known.service) : nullptr;
    return service != nullptr && service->slots > 0
               ? static_cast<double>(service->slots)
               : default_slots;
}

double server_pool::load_of(const row& each, time_point now) const
{
    return each.own +
           each.foreign * statement_weight(now - each.stated_at, m_routers);
}

/// Refills the server's tokens and returns whether one is left. The routers
/// share the cold rate evenly.
bool server_pool::has_cold_room(row& each, time_point now)
{
    const auto* service =
        m_plan ? m_plan->find_service(each.known.service) : nullptr;
    if (each.known.cold_until <= now || service == nullptr ||
        service->cold_rate <= 0)
    {
        return true;
    }
    const double rate = service->cold_rate / m_routers;
    const double passed = each.cold_filled_at == time_point{}
                              ? 1.0
                              : to_seconds(now - each.cold_filled_at);
    each.cold_tokens = std::min(1.0, each.cold_tokens + rate * passed);
    each.cold_filled_at = now;
    return each.cold_tokens >= 1;
}

double server_pool::cost_of(const row& each,
                            const server_query& query,
                            std::size_t rank,
                            time_point now) const
{
    double cost = load_of(each, now);
    if (each.known.data_centre != m_home)
    {
        cost += distance_cost;
    }
    if (each.known.state == directory::server_state::silent)
    {
        cost += silence_cost;
    }
    cost += failing_cost * failing_part(each, now);
    double unread = 0;
    bool is_warm = true;
    for (const prompt_part& part : query.parts)
    {
        is_warm = is_warm && sent_at(each, part.id, now).has_value();
        unread += is_warm || &part == &query.parts.back() ? 0 : part.tokens;
    }
    const double part_lacking =
        unread_by_rank[std::min(rank, unread_by_rank.size() - 1)];
    return cost + unread * part_lacking / tokens_per_request;
}

std::variant<chosen_server, no_choice>
server_pool::choose(const server_query& query, time_point now)
{
    const std::vector<row*> rows = usable(query, now);
    if (rows.empty())
    {
        return no_choice::no_server;
    }
    double total = 0;
    for (const row* each : rows)
    {
        total += load_of(*each, now);
    }
    const double mean = total / static_cast<double>(rows.size());
    const double bound = load_factor * mean + load_slack;
    const std::vector<const row*> order = ranked(query);
    std::size_t rank = 0;
    std::map<const row*, std::size_t> ranks;
    for (const row* each : order)
    {
        if (each->known.state == directory::server_state::ready)
        {
            ranks[each] = rank++;
        }
    }
    row* best = nullptr;
    double best_cost = 0;
    for (row* each : rows)
    {
        const double load = load_of(*each, now);
        if (load >= capacity_of(*each) || load > bound ||
            !has_cold_room(*each, now))
        {
            continue;
        }
        const auto place = ranks.find(each);
        const double cost = cost_of(
            *each, query, place == ranks.end() ? rank : place->second, now);
        if (best == nullptr || cost < best_cost)
        {
            best = each;
            best_cost = cost;
        }
    }
    if (best == nullptr)
    {
        return no_choice::no_room;
    }
    return chosen_server{
        best->known.id, best->address, find_holder(*best, query, order, now)};
}

std::uint32_t server_pool::own_load(const std::string& service) const
{
    std::uint32_t sum = 0;
    for (const auto& [id, each] : m_rows)
    {
        sum += each.known.service == service ? each.own : 0;
    }
    return sum;
}

} // namespace limpet::gateway
