/// \file
/// Lookup of the route, tenant and services of a request.

#pragma once

#include <limpet/directory/plan.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpet::directory
{

/// Lookup tables over one plan, which it owns. Immutable, so that a request can
/// use one table from its start to its end.
class route_table
{
public:
    explicit route_table(plan document);

    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    const plan& document() const noexcept
    {
        return m_plan;
    }

    /// Returns the host's route with the longest prefix of the target's path,
    /// or null. Ignores the host's port and case.
    const route* find_route(std::string_view host,
                            std::string_view target) const;

    /// Returns the tenant that has the API key, or null.
    const tenant* find_tenant(std::string_view key) const;

    /// Returns the named service, or null.
    const service* find_service(std::string_view name) const;

private:
    plan m_plan;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> m_hosts;
    std::unordered_map<std::string, const tenant*> m_keys;
};

/// Picks one of the route's services by weight. Deterministic: the same draw
/// picks the same service.
const std::string& pick_service(const route& from, std::uint64_t draw);

} // namespace limpet::directory
