/// \file
/// Fixed-size digest of a team's idempotency key.

#pragma once

#include <limpet/base/ids.hpp>

#include <compare>
#include <cstdint>
#include <functional>

namespace limpet::claims
{

/// The first 128 bits of the SHA-256 digest of a team and one of its
/// idempotency keys. Equal idempotency keys of different teams have different
/// digests.
struct claim_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // False positive: the check takes the 0 in rewritten comparisons for a null
    // pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// Returns the digest of the team's idempotency key.
claim_key claim_key_of(const team_id& team, const idempotency_key& key);

} // namespace limpet::claims

template <>
struct std::hash<limpet::claims::claim_key>
{
    std::size_t operator()(const limpet::claims::claim_key& key) const noexcept
    {
        return key.low;
    }
};
