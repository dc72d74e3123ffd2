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
/// Rest of a server after its first failure in a row, doubled with each
/// further one up to the limit. Short, as most failures are single.
constexpr duration first_rest = milliseconds(250);
constexpr duration longest_rest = seconds(4);
/// Failures in a row from which a server rests; one may be chance.
constexpr std::uint32_t failures_before_rest = 2;
/// Servers of a data centre that could not be reached in a row, with none
/// reached between, from which the way there counts as cut; and the time for
/// which its servers are then left out where there are others.
constexpr std::size_t unreachable_servers = 2;
constexpr duration cut_off_rest = milliseconds(1500);
/// Weight of the newest request in the part of a server's requests that
/// failed, and the time after which that part counts half.
constexpr double failing_weight = 0.2;
constexpr duration failing_half_life = seconds(4);
/// Cost of a server all of whose requests fail, in requests.
constexpr double failing_cost = 12;
/// Slots of a server that does not state them.
constexpr double default_slots = 8;
/// Load of one server over the mean that no choice exceeds, by factor and
/// by count. Below what operators count as overload, as loads of other
/// routers are known late.
constexpr double load_factor = 1.7;
constexpr double load_slack = 3;
/// Time for which a part of a prompt counts as held by the server that read
/// it. Servers drop the parts that were used longest ago.
constexpr duration part_lifetime = seconds(30);
/// Parts remembered for each server.
constexpr std::size_t max_parts = 4096;
/// Prompt tokens whose reading costs callers as much as one more request
/// that runs beside theirs: reading 1,000 tokens halts all requests of a
/// server for about 10 ms.
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

std::string_view to_string(request_end end) noexcept
{
    switch (end)
    {
    case request_end::answered:
        return "answered";
    case request_end::refused:
        return "refused";
    case request_end::failed:
        return "failed";
    case request_end::unreachable:
        return "unreachable";
    case request_end::broken:
        return "broken";
    case request_end::abandoned:
        return "abandoned";
    }
    return "unknown";
}

server_pool::server_pool(data_centre_id home)
    : m_home(std::move(home))
{
}

void server_pool::apply(const directory::registration& news)
{
    row& held = m_rows[news.id];
    const auto address = http::parse_endpoint(news.address);
    if (!is_ok(address) && news.state != directory::server_state::gone)
    {
        log_event(
            log_level::warn,
            "registration.unusable",
            {{"engine", news.id.get()}, {"reason", error_of(address).message}});
    }
    if (held.known.born_ms != news.born_ms)
    {
        // Another start knows nothing of the former one.
        const std::uint32_t own = held.own;
        held = row{};
        held.own = own;
    }
    held.known = news;
    held.is_reachable = is_ok(address);
    if (held.is_reachable)
    {
        held.address = value_of(address);
    }
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

void server_pool::note_reach(const row& each, bool is_reached, time_point now)
{
    if (each.known.data_centre == m_home)
    {
        return;
    }
    way& there = m_ways[each.known.data_centre];
    if (is_reached)
    {
        there = {};
        return;
    }
    there.unreachable.insert(each.known.id);
    if (there.unreachable.size() >= unreachable_servers)
    {
        there.rests_until = now + cut_off_rest;
        log_event(log_level::warn,
                  "data_centre.unreachable",
                  {{"data_centre", each.known.data_centre.get()},
                   {"servers", there.unreachable.size()},
                   {"rest_ms", to_milliseconds(cut_off_rest)}});
    }
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

/// Returns the servers that may hold the prompt, in an order that all routers
/// agree on. Load and room do not count, so that the order is steady. Servers
/// that drain are in it as well, since prompts may be copied from them.
std::vector<const server_pool::row*>
server_pool::ranked(const server_query& query) const
{
    std::vector<std::pair<std::uint64_t, const row*>> scored;
    if (query.parts.empty())
    {
        return {};
    }
    const std::uint64_t part = subject_of(query.parts).id;
    for (const auto& [id, each] : m_rows)
    {
        const bool holds =
            each.known.state == directory::server_state::ready ||
            each.known.state == directory::server_state::draining;
        if (holds && each.known.service == query.service)
        {
            scored.emplace_back(combine_hashes(part, stable_hash(id.get())),
                                &each);
        }
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<const row*> result;
    result.reserve(scored.size());
    for (const auto& [score, each] : scored)
    {
        result.push_back(each);
    }
    return result;
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
    const duration since = now - each.failing_at;
    cost += failing_cost * each.failing *
            std::exp2(-to_seconds(since) / to_seconds(failing_half_life));
    double unread = 0;
    bool is_warm = true;
    for (const prompt_part& part : query.parts)
    {
        const auto known = each.parts.find(part.id);
        is_warm = is_warm && known != each.parts.end() &&
                  now < known->second + part_lifetime;
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

/// Returns the server that was last sent the subject of the prompt, or else
/// the first in the order. None if the chosen one was sent it lately.
std::optional<boost::asio::ip::tcp::endpoint>
server_pool::find_holder(const row& chosen,
                         const server_query& query,
                         const std::vector<const row*>& order,
                         time_point now) const
{
    if (query.parts.empty())
    {
        return std::nullopt;
    }
    const std::uint64_t subject = subject_of(query.parts).id;
    const auto sent_at = [subject, now](const row& each)
    {
        const auto known = each.parts.find(subject);
        const bool is_warm =
            known != each.parts.end() && now < known->second + part_lifetime;
        return is_warm ? known->second : time_point{};
    };
    if (sent_at(chosen) != time_point{})
    {
        return std::nullopt;
    }
    const row* holder = nullptr;
    for (const auto& [id, each] : m_rows)
    {
        const bool can_give =
            &each != &chosen && each.is_reachable && each.rests_until <= now &&
            each.known.state != directory::server_state::gone &&
            each.known.state != directory::server_state::silent;
        if (can_give && sent_at(each) != time_point{} &&
            (holder == nullptr || sent_at(each) > sent_at(*holder)))
        {
            holder = &each;
        }
    }
    for (std::size_t i = 0; holder == nullptr && i < order.size(); ++i)
    {
        if (order[i] != &chosen && order[i]->rests_until <= now)
        {
            holder = order[i];
        }
    }
    if (holder == nullptr)
    {
        return std::nullopt;
    }
    return holder->address;
}

void server_pool::on_begin(const engine_id& id,
                           const server_query& query,
                           time_point now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
    {
        return;
    }
    row& each = found->second;
    ++each.own;
    each.cold_tokens = std::max(0.0, each.cold_tokens - 1);
    if (each.parts.size() + query.parts.size() > max_parts)
    {
        std::erase_if(each.parts,
                      [now](const auto& part)
                      {
                          return part.second + part_lifetime < now;
                      });
    }
    for (const prompt_part& part : query.parts)
    {
        if (each.parts.size() < max_parts || each.parts.contains(part.id))
        {
            each.parts[part.id] = now;
        }
    }
}

void server_pool::on_end(const engine_id& id, request_end how, time_point now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
    {
        return;
    }
    row& each = found->second;
    each.own -= std::min<std::uint32_t>(each.own, 1);
    if (how != request_end::refused && how != request_end::abandoned)
    {
        const duration since = now - each.failing_at;
        each.failing *=
            (1 - failing_weight) *
            std::exp2(-to_seconds(since) / to_seconds(failing_half_life));
        each.failing += how == request_end::answered ? 0 : failing_weight;
        each.failing_at = now;
        note_reach(each, how != request_end::unreachable, now);
    }
    switch (how)
    {
    case request_end::answered:
    case request_end::failed:
        each.failures = 0;
        each.rests_until = {};
        return;
    case request_end::refused:
    case request_end::abandoned:
        return;
    case request_end::unreachable:
        each.failures = std::max(each.failures + 1, failures_before_rest);
        break;
    case request_end::broken:
        ++each.failures;
        break;
    }
    if (each.failures >= failures_before_rest)
    {
        const unsigned doublings =
            std::min(each.failures - failures_before_rest, 8U);
        each.rests_until =
            now + std::min(first_rest * (1U << doublings), longest_rest);
        log_event(log_level::info,
                  "server.rests",
                  {{"engine", id.get()},
                   {"cause", to_string(how)},
                   {"failures", each.failures},
                   {"rest_ms", to_milliseconds(each.rests_until - now)}});
    }
}

void server_pool::on_load(const engine_id& id,
                          const server_load& load,
                          time_point now)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
    {
        return;
    }
    row& each = found->second;
    const double stated = load.running + load.waiting;
    each.foreign = std::max(0.0, stated - each.own);
    each.stated_at = now;
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
