/// \file
/// Spread of keys over claims groups.

#pragma once

#include <limpet/claims/claim_key.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace limpet::claims
{

using claims_group_id = strong_type<struct claims_group_id_tag, std::string>;

/// Returns the group of the key by rendezvous hashing. The list must not be
/// empty; its order does not matter.
const claims_group_id& group_of(const claim_key& key,
                                std::span<const claims_group_id> groups);

/// The claims groups in force. While keys of a former list of groups are
/// still remembered, a key is granted only by its groups of both lists.
struct claims_layout
{
    std::vector<claims_group_id> groups;
    /// The list before the last change, for one retention after the change
    /// was in force everywhere; empty otherwise.
    std::vector<claims_group_id> previous_groups;

    /// Returns the groups that must grant the key, in the order in which to
    /// ask them: the former one first. Settle and release go to all of them.
    std::vector<claims_group_id> groups_to_ask(const claim_key& key) const;
};

} // namespace limpet::claims
