/// \file
/// Assignment of keys to claims groups.

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
/// empty. The result does not depend on the order of the list.
const claims_group_id& group_of(const claim_key& key,
                                std::span<const claims_group_id> groups);

/// The claims groups in force. While the groups of the previous list may still
/// remember keys, a claim needs grants from the key's groups of both lists.
struct claims_layout
{
    std::vector<claims_group_id> groups;
    /// The list before the last change, until one retention period after the
    /// change took effect everywhere; empty otherwise.
    std::vector<claims_group_id> previous_groups;

    /// Returns the groups that must grant a claim for the key, in the order in
    /// which to send it: the group of the previous list first. Settle and
    /// release commands go to all of them.
    std::vector<claims_group_id> groups_to_ask(const claim_key& key) const;
};

} // namespace limpet::claims
