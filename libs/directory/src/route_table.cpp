#include <limpet/directory/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace limpet::directory
{

namespace
{

std::string normalise_host(std::string_view host)
{
    const auto port = host.rfind(':');
    if (port != std::string_view::npos && host.back() != ']')
    {
        host = host.substr(0, port);
    }
    std::string result(host);
    std::transform(result.begin(),
                   result.end(),
                   result.begin(),
                   [](unsigned char character)
                   {
                       return static_cast<char>(std::tolower(character));
                   });
    return result;
}

} // namespace

route_table::route_table(plan document)
    : m_plan(std::move(document))
{
    for (const route& each : m_plan.routes)
    {
        m_hosts[normalise_host(each.host)].push_back(&each);
    }
    for (auto& [host, routes] : m_hosts)
    {
        std::stable_sort(routes.begin(),
                         routes.end(),
                         [](const route* a, const route* b)
                         {
                             return a->prefix.size() > b->prefix.size();
                         });
    }
    for (const tenant& each : m_plan.tenants)
    {
        for (const std::string& key : each.keys)
        {
            m_keys.emplace(key, &each);
        }
    }
}

const route* route_table::find_route(std::string_view host,
                                     std::string_view target) const
{
    const auto found = m_hosts.find(normalise_host(host));
    if (found == m_hosts.end())
    {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const route* each : found->second)
    {
        if (path.starts_with(each->prefix))
        {
            return each;
        }
    }
    return nullptr;
}

const tenant* route_table::find_tenant(std::string_view key) const
{
    const auto found = m_keys.find(std::string(key));
    return found == m_keys.end() ? nullptr : found->second;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto found = m_plan.services.find(std::string(name));
    return found == m_plan.services.end() ? nullptr : &found->second;
}

const std::string& pick_service(const route& from, std::uint64_t draw)
{
    const std::uint64_t total =
        std::accumulate(from.services.begin(),
                        from.services.end(),
                        std::uint64_t{0},
                        [](std::uint64_t sum, const weighted_service& each)
                        {
                            return sum + each.weight;
                        });
    std::uint64_t remaining = total == 0 ? 0 : draw % total;
    for (const weighted_service& each : from.services)
    {
        if (remaining < each.weight)
        {
            return each.service;
        }
        remaining -= each.weight;
    }
    return from.services.back().service;
}

} // namespace limpet::directory
