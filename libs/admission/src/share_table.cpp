#include <limpet/admission/share_table.hpp>

namespace limpet::admission
{

double share_table::share_of(const partner_id& partner) const
{
    const auto found = partners.find(partner);
    return found == partners.end() ? 1 : found->second;
}

double share_table::share_of(const team_id& team) const
{
    const auto found = teams.find(team);
    return found == teams.end() ? 1 : found->second;
}

double share_table::guarantee_of(const partner_id& partner) const
{
    const auto found = guarantees.find(partner);
    return found == guarantees.end() ? fraction_of(partner) : found->second;
}

double share_table::fraction_of(const partner_id& partner) const
{
    double total = partners.contains(partner) ? 0 : 1;
    for (const auto& [id, share] : partners)
    {
        total += share;
    }
    return total > 0 ? share_of(partner) / total : 0;
}

} // namespace limpet::admission
