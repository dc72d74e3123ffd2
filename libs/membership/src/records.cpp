#include <limpet/membership/engine_record.hpp>
#include <limpet/membership/router_record.hpp>

#include <tuple>

namespace limpet::membership
{

bool supersedes(const router_record& first,
                const router_record& second) noexcept
{
    const auto rank = [](const router_record& record)
    {
        // Leaving is final, so it outranks any version of its incarnation.
        const bool left = record.state == router_state::left;
        return std::tuple(record.started, left, record.version, record.state);
    };
    return rank(first) > rank(second);
}

bool supersedes(const engine_record& first,
                const engine_record& second) noexcept
{
    const auto rank = [](const engine_record& record)
    {
        return std::tuple(record.server.started,
                          record.server.leaving,
                          record.version,
                          record.gone);
    };
    return rank(first) > rank(second);
}

} // namespace limpet::membership
