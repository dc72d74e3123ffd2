#include <limpet/base/hash.hpp>
#include <limpet/gateway/server_pool.hpp>

#include <algorithm>

namespace limpet::gateway
{

namespace
{

/// Time for which a prompt part is assumed to be in a server's prefix cache
/// after it was sent there. Servers evict the least recently used parts.
constexpr duration cached_part_lifetime = seconds(30);

} // namespace

std::optional<time_point> server_pool::sent_at(const server_record& each,
                                               std::uint64_t part,
                                               time_point now)
{
    const auto found = each.parts.find(part);
    if (found == each.parts.end() ||
        now >= found->second + cached_part_lifetime)
    {
        return std::nullopt;
    }
    return found->second;
}

void server_pool::evict_expired_parts(server_record& each, time_point now)
{
    std::erase_if(each.parts,
                  [now](const auto& part)
                  {
                      return part.second + cached_part_lifetime <= now;
                  });
}

std::size_t server_pool::tracked_parts() const
{
    std::size_t count = 0;
    for (const auto& [id, each] : m_servers)
    {
        count += each.parts.size();
    }
    return count;
}

/// Returns the servers that may hold the prompt in rendezvous-hashing order of
/// its affinity part, which is the same at all routers. The order ignores load
/// and capacity, so that it stays stable. It includes draining servers, since
/// prompts may be copied from them.
std::vector<const server_pool::server_record*>
server_pool::rendezvous_order(const server_query& query) const
{
    std::vector<std::pair<std::uint64_t, const server_record*>> scored;
    if (query.parts.empty())
    {
        return {};
    }
    const std::uint64_t part = affinity_part_of(query.parts).id;
    for (const auto& [id, each] : m_servers)
    {
        const bool may_hold =
            each.registration.state == directory::server_state::ready ||
            each.registration.state == directory::server_state::draining;
        if (may_hold && each.registration.service == query.service)
        {
            scored.emplace_back(combine_hashes(part, stable_hash(id.get())),
                                &each);
        }
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<const server_record*> result;
    result.reserve(scored.size());
    for (const auto& [score, each] : scored)
    {
        result.push_back(each);
    }
    return result;
}

/// Returns the address of the server to which this router last sent the
/// prompt's affinity part, or else that of the first other server in the order.
/// Returns nothing if the chosen server was sent the part recently.
std::optional<boost::asio::ip::tcp::endpoint>
server_pool::find_copy_source(const server_record& chosen,
                              const server_query& query,
                              const std::vector<const server_record*>& order,
                              time_point now) const
{
    if (query.parts.empty())
    {
        return std::nullopt;
    }
    const std::uint64_t subject = affinity_part_of(query.parts).id;
    if (sent_at(chosen, subject, now))
    {
        return std::nullopt;
    }
    const server_record* source = nullptr;
    std::optional<time_point> latest;
    for (const auto& [id, each] : m_servers)
    {
        const bool may_serve_copy =
            &each != &chosen && each.has_valid_address &&
            each.backoff_until <= now &&
            each.registration.state != directory::server_state::gone &&
            each.registration.state != directory::server_state::silent;
        const auto sent = sent_at(each, subject, now);
        if (may_serve_copy && sent && (!latest || *sent > *latest))
        {
            source = &each;
            latest = sent;
        }
    }
    for (std::size_t i = 0; source == nullptr && i < order.size(); ++i)
    {
        if (order[i] != &chosen && order[i]->backoff_until <= now)
        {
            source = order[i];
        }
    }
    if (source == nullptr)
    {
        return std::nullopt;
    }
    return source->address;
}

} // namespace limpet::gateway
