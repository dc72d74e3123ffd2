#include <limpet/base/hash.hpp>
#include <limpet/gateway/server_pool.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace
{

/// Time for which a part of a prompt counts as held by the server that read
/// it. Servers drop the parts that were used longest ago.
constexpr duration part_lifetime = seconds(30);

} // namespace

std::optional<time_point>
server_pool::sent_at(const row& each, std::uint64_t part, time_point now)
{
    const auto known = each.parts.find(part);
    if (known == each.parts.end() || now >= known->second + part_lifetime)
    {
        return std::nullopt;
    }
    return known->second;
}

void server_pool::forget_old_parts(row& each, time_point now)
{
    std::erase_if(each.parts,
                  [now](const auto& part)
                  {
                      return part.second + part_lifetime <= now;
                  });
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
    if (sent_at(chosen, subject, now))
    {
        return std::nullopt;
    }
    const row* holder = nullptr;
    std::optional<time_point> latest;
    for (const auto& [id, each] : m_rows)
    {
        const bool can_give =
            &each != &chosen && each.is_reachable && each.rests_until <= now &&
            each.known.state != directory::server_state::gone &&
            each.known.state != directory::server_state::silent;
        const auto sent = sent_at(each, subject, now);
        if (can_give && sent && (!latest || *sent > *latest))
        {
            holder = &each;
            latest = sent;
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

} // namespace limpet::gateway
