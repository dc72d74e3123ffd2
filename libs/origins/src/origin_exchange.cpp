#include <limpet/base/hash.hpp>
#include <limpet/origins/origin_exchange.hpp>

#include <algorithm>

namespace limpet::origins
{

namespace
{

/// Streams of one router, and those that it keeps for others, at 100 bytes
/// each. Ten times what a router has at the target's size, where it begins 73
/// streams a second with a caller's timeout of 12 s.
constexpr std::size_t max_own_streams = 10'000;
constexpr std::size_t max_other_streams = 30'000;
/// Most streams asked for at one time.
constexpr std::size_t max_queries = 10'000;

} // namespace

origin_exchange::origin_exchange(vm_id self,
                                 data_centre_id home,
                                 version_function only_version,
                                 std::size_t backup_count)
    : m_self(std::move(self)),
      m_home(std::move(home)),
      m_only_version(std::move(only_version)),
      m_backup_count(backup_count),
      m_own(max_own_streams),
      m_others(max_other_streams)
{
}

std::vector<vm_id>
origin_exchange::rendezvous_order(const std::set<vm_id>& names) const
{
    std::vector<std::pair<std::uint64_t, vm_id>> ranked;
    ranked.reserve(names.size());
    const std::uint64_t self = stable_hash(m_self.get());
    for (const vm_id& vm : names)
    {
        ranked.emplace_back(combine_hashes(self, stable_hash(vm.get())), vm);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<vm_id> order;
    order.reserve(names.size());
    for (auto& [rank, vm] : ranked)
    {
        order.push_back(std::move(vm));
    }
    return order;
}

/// Takes the routers in rendezvous order, one of this data centre first, then
/// one of each other, then any; and the first live replica.
std::vector<vm_id> origin_exchange::choose_backups() const
{
    std::set<vm_id> names;
    for (const auto& [vm, data_centre] : m_routers)
    {
        names.insert(vm);
    }
    const std::vector<vm_id> order = rendezvous_order(names);
    std::vector<vm_id> chosen;
    std::set<data_centre_id> used;
    const auto take = [&](auto is_wanted)
    {
        for (const vm_id& vm : order)
        {
            const data_centre_id& place = m_routers.at(vm);
            const bool is_chosen =
                std::find(chosen.begin(), chosen.end(), vm) != chosen.end();
            if (chosen.size() < m_backup_count && !is_chosen &&
                is_wanted(place))
            {
                chosen.push_back(vm);
                used.insert(place);
            }
        }
    };
    take(
        [&](const data_centre_id& place)
        {
            return place == m_home && !used.contains(place);
        });
    take(
        [&](const data_centre_id& place)
        {
            return place != m_home && !used.contains(place);
        });
    take(
        [](const data_centre_id&)
        {
            return true;
        });
    if (!m_live_replicas.empty())
    {
        chosen.push_back(rendezvous_order(m_live_replicas).front());
    }
    return chosen;
}

std::vector<origin_exchange::addressed_message>
origin_exchange::set_routers(router_map routers, time_point now)
{
    routers.erase(m_self);
    for (const auto& [vm, data_centre] : m_routers)
    {
        if (!routers.contains(vm))
        {
            on_lost(vm);
        }
    }
    m_routers = std::move(routers);
    m_backups = choose_backups();
    return update_backups(now);
}

std::vector<origin_exchange::addressed_message> origin_exchange::set_replicas(
    std::set<vm_id> known, const std::set<vm_id>& live, time_point now)
{
    m_replicas = std::move(known);
    if (live == m_live_replicas)
    {
        return {};
    }
    m_live_replicas = live;
    m_backups = choose_backups();
    return update_backups(now);
}

std::vector<origin_exchange::addressed_message>
origin_exchange::set_shared_services(std::set<service_key> services,
                                     time_point now)
{
    const bool has_new = !std::includes(m_shared_services.begin(),
                                        m_shared_services.end(),
                                        services.begin(),
                                        services.end());
    if (has_new)
    {
        m_complete_backups.clear();
    }
    m_shared_services = std::move(services);
    return update_backups(now);
}

std::vector<origin> origin_exchange::shared_streams(time_point now) const
{
    std::vector<origin> result = m_own.all(now);
    std::erase_if(result,
                  [this](const origin& each)
                  {
                      return !m_shared_services.contains(each.service);
                  });
    return result;
}

/// Tells the backups that lack some of the shared streams of all of them.
std::vector<origin_exchange::addressed_message>
origin_exchange::update_backups(time_point now)
{
    // A former backup was not told of the streams that began since.
    std::erase_if(m_complete_backups,
                  [this](const vm_id& each)
                  {
                      return std::find(m_backups.begin(),
                                       m_backups.end(),
                                       each) == m_backups.end();
                  });
    std::vector<addressed_message> messages;
    if (m_shared_services.empty())
    {
        return messages;
    }
    for (const vm_id& vm : m_backups)
    {
        if (!m_complete_backups.insert(vm).second)
        {
            continue;
        }
        message sent{shared_streams(now), {}, {}};
        if (!sent.origins.empty())
        {
            messages.emplace_back(vm, std::move(sent));
        }
    }
    return messages;
}

std::vector<origin_exchange::addressed_message>
origin_exchange::record(const origin& begun, time_point now)
{
    m_own.put(begun, now);
    std::vector<addressed_message> messages;
    if (!m_shared_services.contains(begun.service))
    {
        return messages;
    }
    for (const vm_id& vm : m_backups)
    {
        const bool is_complete = !m_complete_backups.insert(vm).second;
        messages.emplace_back(vm,
                              message{is_complete ? std::vector<origin>{begun}
                                                  : shared_streams(now),
                                      {},
                                      {}});
    }
    return messages;
}

std::optional<origin> origin_exchange::find(stream_key stream,
                                            time_point now) const
{
    for (const origin_table* table : {&m_own, &m_others})
    {
        if (const auto found = table->find(stream, now))
        {
            return found;
        }
    }
    return std::nullopt;
}

std::vector<origin_exchange::addressed_message>
origin_exchange::ask(const query& asked)
{
    std::vector<addressed_message> messages;
    if (m_awaited.size() >= max_queries)
    {
        return messages;
    }
    std::set<vm_id>& awaited = m_awaited[asked.stream];
    for (const auto& [vm, data_centre] : m_routers)
    {
        awaited.insert(vm);
    }
    awaited.insert(m_replicas.begin(), m_replicas.end());
    for (const vm_id& vm : awaited)
    {
        messages.emplace_back(vm, message{{}, {asked}, {}});
    }
    return messages;
}

bool origin_exchange::is_awaiting(stream_key stream) const
{
    const auto found = m_awaited.find(stream);
    return found != m_awaited.end() && !found->second.empty();
}

void origin_exchange::stop_awaiting(stream_key stream)
{
    m_awaited.erase(stream);
}

message origin_exchange::answer(const std::vector<query>& queries,
                                time_point now) const
{
    message result;
    for (const query& each : queries)
    {
        if (const auto found = find(each.stream, now))
        {
            result.origins.push_back(*found);
        }
        else if (const auto only = m_only_version(each.service, each.max_age))
        {
            result.origins.push_back(
                {each.stream, each.service, *only, each.max_age});
        }
        else
        {
            result.unknown.push_back(each.stream);
        }
    }
    return result;
}

std::vector<origin_exchange::addressed_message> origin_exchange::receive(
    const vm_id& from, const message& received, time_point now)
{
    for (const origin& each : received.origins)
    {
        m_others.put(each, now);
    }
    for (const stream_key stream : received.unknown)
    {
        const auto found = m_awaited.find(stream);
        if (found != m_awaited.end())
        {
            found->second.erase(from);
        }
    }
    std::vector<addressed_message> answers;
    if (!received.queries.empty())
    {
        answers.emplace_back(from, answer(received.queries, now));
    }
    return answers;
}

void origin_exchange::on_lost(const vm_id& router)
{
    m_complete_backups.erase(router);
    for (auto& [stream, awaited] : m_awaited)
    {
        awaited.erase(router);
    }
}

} // namespace limpet::origins
