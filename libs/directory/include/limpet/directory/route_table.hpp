/// \file
/// Finds the route and tenant of a request.

#pragma once

#include <limpet/directory/plan.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpet::directory
{

/// Lookups over one plan, which it owns. Immutable, so that a request keeps
/// the table that it began with.
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

    /// Returns the route of the host whose prefix is the longest that begins
    /// the target, or null. A port and the case of the host do not count.
    const route* find_route(std::string_view host,
                            std::string_view target) const;

    /// Returns the holder of the key, or null.
    const tenant* find_tenant(std::string_view key) const;

    /// Returns the named service, or null.
    const service* find_service(std::string_view name) const;

private:
    plan m_plan;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> m_hosts;
    std::unordered_map<std::string, const tenant*> m_keys;
};

/// Picks the service of a request by the weights of its route. Equal draws
/// pick the same service.
const std::string& pick_service(const route& from, std::uint64_t draw);

} // namespace limpet::directory
