#include "synchroniser.hpp"

#include <algorithm>

namespace limpet::membership
{

namespace
{

constexpr double gossip_bytes_per_second = 1500;
constexpr double max_burst_bytes = 12000;
constexpr std::size_t gossip_bytes = 1000;
constexpr std::size_t max_buckets_at_once = 4;
constexpr auto fast_sync_period = milliseconds(500);

std::uint64_t hash_of(key name, const router_record& record)
{
    // A suspicion is resolved within seconds, so it is not compared.
    const auto state = record.is_member() ? router_state::alive : record.state;
    const auto flags = static_cast<std::uint64_t>(record.version) << 16U |
                       static_cast<std::uint64_t>(state) << 8U |
                       static_cast<std::uint64_t>(record.ready);
    return combine_hashes(combine_hashes(name, record.started.get()), flags);
}

std::uint64_t hash_of(key name, const engine_record& record)
{
    const auto flags = static_cast<std::uint64_t>(record.version) << 1U |
                       static_cast<std::uint64_t>(record.server.leaving);
    return combine_hashes(combine_hashes(name, record.server.started.get()),
                          flags);
}

std::size_t size_of(const updates& changes)
{
    std::size_t bytes = changes.router_statuses.size() * sizeof(router_status) +
                        changes.engine_statuses.size() * sizeof(engine_status);
    for (const auto& router : changes.routers)
    {
        bytes += encoded_bytes(router);
    }
    for (const auto& engine : changes.engines)
    {
        bytes += encoded_bytes(*engine);
    }
    return bytes;
}

} // namespace

synchroniser::synchroniser(region_state& state, outbox& out, time_point now)
    : m_state(state),
      m_out(out),
      m_next_gossip(now),
      m_next_sync(now),
      m_byte_budget(max_burst_bytes)
{
}

void synchroniser::tick(time_point now)
{
    if (now >= m_next_gossip)
    {
        m_next_gossip = now + m_state.values().gossip_period;
        gossip_updates(now);
    }
    if (now < m_next_sync)
    {
        return;
    }
    m_next_sync =
        now + (m_fast_sync ? fast_sync_period : m_state.values().sync_period);
    const auto& own = own_hashes();
    for (const auto& to : random_members(1))
    {
        m_out.send(
            to, traffic::membership, sync_request{{own.begin(), own.end()}});
    }
}

void synchroniser::start_fast_sync(time_point now)
{
    m_fast_sync = true;
    m_in_sync = false;
    m_next_sync = std::min(m_next_sync, now + fast_sync_period);
}

void synchroniser::gossip_updates(time_point)
{
    const auto& values = m_state.values();
    m_byte_budget =
        std::min(max_burst_bytes,
                 m_byte_budget + gossip_bytes_per_second *
                                     to_seconds(values.gossip_period));
    if (!m_state.has_updates() || m_byte_budget <= 0)
    {
        return;
    }
    const auto to = random_members(values.gossip_fanout);
    if (to.empty())
    {
        return;
    }
    const auto changes = m_state.take_updates(
        gossip_bytes, static_cast<std::uint32_t>(to.size()));
    m_byte_budget -= static_cast<double>(to.size() * size_of(changes));
    for (const auto& one : to)
    {
        m_out.send(one, traffic::membership, gossip{}, changes);
    }
}

void synchroniser::flush(const std::vector<peer>& to)
{
    const auto changes = m_state.take_updates(gossip_bytes, 1);
    for (const auto& one : to)
    {
        m_out.send(one, traffic::membership, gossip{}, changes);
    }
}

std::vector<peer> synchroniser::random_members(std::size_t count)
{
    std::vector<const stored_router*> members;
    for (const auto& [name, entry] : m_state.routers())
    {
        if (name != m_state.self_key() && entry.record.is_member())
        {
            members.push_back(&entry);
        }
    }
    std::vector<peer> chosen;
    for (std::size_t i = 0; i < std::min(count, members.size()); ++i)
    {
        std::swap(members[i],
                  members[i + m_state.random().below(members.size() - i)]);
        chosen.push_back(members[i]->record.self);
    }
    return chosen;
}

const synchroniser::hashes& synchroniser::own_hashes()
{
    if (m_hashes_version != m_state.version())
    {
        m_hashes = compute_hashes();
        m_hashes_version = m_state.version();
    }
    return m_hashes;
}

synchroniser::hashes synchroniser::compute_hashes() const
{
    hashes result{};
    for (const auto& [name, entry] : m_state.routers())
    {
        if (!entry.is_unconfirmed_seed())
        {
            result[name % bucket_count] ^=
                static_cast<std::uint32_t>(hash_of(name, entry.record));
        }
    }
    for (const auto& [name, stored] : m_state.engines())
    {
        if (!stored.record->gone)
        {
            result[name % bucket_count] ^=
                static_cast<std::uint32_t>(hash_of(name, *stored.record));
        }
    }
    return result;
}

updates synchroniser::records_of(const std::vector<std::uint8_t>& buckets) const
{
    const auto is_named = [&](key name)
    {
        return std::ranges::find(buckets, name % bucket_count) != buckets.end();
    };
    updates result;
    for (const auto& [name, entry] : m_state.routers())
    {
        if (!entry.is_unconfirmed_seed() && is_named(name))
        {
            result.routers.push_back(entry.record);
        }
    }
    for (const auto& [name, stored] : m_state.engines())
    {
        if (is_named(name))
        {
            result.engines.push_back(stored.record);
        }
    }
    return result;
}

void synchroniser::on_request(const peer& from, const sync_request& request)
{
    if (request.buckets.size() != bucket_count)
    {
        return;
    }
    const auto& own = own_hashes();
    // Starts at a random bucket. Routers evict records at different times, so
    // some buckets may differ for long; with a fixed start these could fill
    // every answer and keep the other buckets from being compared.
    const auto first = m_state.random().below(bucket_count);
    std::vector<std::uint8_t> different;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        const auto bucket = (first + i) % bucket_count;
        if (own[bucket] != request.buckets[bucket] &&
            different.size() < max_buckets_at_once)
        {
            different.push_back(static_cast<std::uint8_t>(bucket));
        }
    }
    auto changes = records_of(different);
    m_out.send(from,
               traffic::membership,
               sync_records{std::move(different), false},
               std::move(changes));
}

void synchroniser::on_records(const peer& from,
                              const sync_records& records,
                              const updates& theirs,
                              time_point now)
{
    if (records.is_reply)
    {
        return;
    }
    m_in_sync = records.buckets.empty();
    m_fast_sync = !m_in_sync;
    if (m_in_sync)
    {
        return;
    }
    m_next_sync = std::min(m_next_sync, now + fast_sync_period);
    std::map<key, const router_record*> their_routers;
    for (const auto& router : theirs.routers)
    {
        their_routers[key_of(router.self.vm)] = &router;
    }
    std::map<key, const engine_record*> their_engines;
    for (const auto& engine : theirs.engines)
    {
        their_engines[key_of(engine->server.engine)] = engine.get();
    }
    auto newer = records_of(records.buckets);
    std::erase_if(newer.routers,
                  [&](const router_record& own)
                  {
                      const auto found =
                          their_routers.find(key_of(own.self.vm));
                      return found != their_routers.end() &&
                             !supersedes(own, *found->second);
                  });
    std::erase_if(newer.engines,
                  [&](const engine_ptr& own)
                  {
                      const auto found =
                          their_engines.find(key_of(own->server.engine));
                      return found == their_engines.end()
                                 ? own->gone
                                 : !supersedes(*own, *found->second);
                  });
    if (!newer.routers.empty() || !newer.engines.empty())
    {
        m_out.send(from,
                   traffic::membership,
                   sync_records{records.buckets, true},
                   std::move(newer));
    }
}

} // namespace limpet::membership
