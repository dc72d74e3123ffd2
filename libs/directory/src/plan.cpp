#include <limpet/directory/plan.hpp>

#include <set>
#include <utility>

namespace limpet::directory
{

namespace
{

error invalid(const std::string& reason)
{
    return {error_code::invalid_argument, reason};
}

status check_route(const route& each, const plan& document)
{
    if (each.timeout <= duration::zero())
    {
        return invalid("route " + each.name + ": the timeout must not be 0");
    }
    if (!each.prefix.starts_with('/') || !each.prefix.ends_with('/'))
    {
        return invalid("route " + each.name +
                       ": the prefix must begin and end with a slash");
    }
    std::uint64_t weights = 0;
    for (const weighted_service& target : each.services)
    {
        if (!document.services.contains(target.service))
        {
            return invalid("route " + each.name + ": unknown service " +
                           target.service);
        }
        weights += target.weight;
    }
    if (weights == 0)
    {
        return invalid("route " + each.name + ": the weights add up to 0");
    }
    return success();
}

status check_keys(const std::vector<tenant>& tenants)
{
    std::map<std::string, std::string> key_owners;
    for (const tenant& each : tenants)
    {
        for (const std::string& key : each.keys)
        {
            const auto [owner, is_new] = key_owners.emplace(key, each.name);
            if (!is_new && owner->second != each.name)
            {
                return invalid("tenants " + owner->second + " and " +
                               each.name + " share a key");
            }
        }
    }
    return success();
}

} // namespace

status check(const plan& document)
{
    std::set<std::pair<std::string, std::string>> host_prefixes;
    for (const route& each : document.routes)
    {
        status result = check_route(each, document);
        if (!is_ok(result))
        {
            return result;
        }
        if (!host_prefixes.emplace(each.host, each.prefix).second)
        {
            return invalid("route " + each.name +
                           ": another route has the same host and prefix");
        }
    }
    return check_keys(document.tenants);
}

} // namespace limpet::directory
