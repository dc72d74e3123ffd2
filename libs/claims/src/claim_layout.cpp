#include <limpet/base/hash.hpp>
#include <limpet/claims/claim_layout.hpp>

#include <algorithm>

namespace limpet::claims
{

namespace
{

std::uint64_t weight_of(const claim_key& key, const claims_group_id& group)
{
    return combine_hashes(combine_hashes(key.high, key.low),
                          stable_hash(group.get()));
}

} // namespace

const claims_group_id& group_of(const claim_key& key,
                                std::span<const claims_group_id> groups)
{
    return *std::max_element(groups.begin(),
                             groups.end(),
                             [&](const auto& left, const auto& right)
                             {
                                 return weight_of(key, left) <
                                        weight_of(key, right);
                             });
}

std::vector<claims_group_id>
claims_layout::groups_to_ask(const claim_key& key) const
{
    std::vector<claims_group_id> out;
    if (!previous_groups.empty())
    {
        out.push_back(group_of(key, previous_groups));
    }
    const claims_group_id& current = group_of(key, groups);
    if (out.empty() || out.front() != current)
    {
        out.push_back(current);
    }
    return out;
}

} // namespace limpet::claims
