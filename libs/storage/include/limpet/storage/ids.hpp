/// \file
/// Positions in the replicated log and the identity of a replica.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/strong_type.hpp>

#include <compare>
#include <cstdint>

namespace limpet::storage
{

/// Position of an entry in the log. The first entry has index 1; 0 is the
/// position before it.
using log_index = strong_type<struct log_index_tag, std::uint64_t>;

/// Consensus term. Never decreases.
using term_number = strong_type<struct term_number_tag, std::uint64_t>;

/// Returns the index that is the given number of entries after this one.
inline log_index advance(log_index index, std::uint64_t entries = 1)
{
    return log_index{index.get() + entries};
}

/// Returns the index before this one. The index must not be 0.
inline log_index previous(log_index index)
{
    return log_index{index.get() - 1};
}

/// Identity of a replica of the log: a VM and the incarnation of its storage. A
/// VM whose disk was lost or replaced becomes a different replica.
struct replica_id
{
    vm_id vm;
    incarnation storage;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the operator.
    friend auto operator<=>(const replica_id&, const replica_id&) = default;
};

} // namespace limpet::storage
