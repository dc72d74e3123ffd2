/// \file
/// The replicas of a group and their roles.

#pragma once

#include <limpet/storage/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::consensus
{

using storage::log_index;
using storage::replica_id;
using storage::term_number;

enum class member_role : std::uint8_t
{
    learner, ///< Receives the log but does not count towards a quorum.
    voter
};

/// Kinds of membership change.
enum class change_kind : std::uint8_t
{
    add_learner,
    promote,
    remove
};

/// A membership change, which affects one member.
struct membership_change
{
    change_kind kind = change_kind::add_learner;
    replica_id member;
};

/// Members of a group. Consecutive memberships differ in at most one voter, so
/// that every quorum of one overlaps every quorum of the next.
class membership
{
public:
    membership() = default;

    /// Returns the membership of a new group with one voter.
    static membership founded_by(const replica_id& voter);

    const std::map<replica_id, member_role>& members() const noexcept
    {
        return m_members;
    }

    bool empty() const noexcept
    {
        return m_members.empty();
    }

    bool contains(const replica_id& id) const;
    bool is_voter(const replica_id& id) const;
    std::size_t voters() const;

    /// Returns the smallest number of voters that is a majority.
    std::size_t quorum() const;

    /// Returns whether the replica is not a member but a later incarnation of
    /// its VM's storage is. Such a replica no longer belongs to the group.
    bool is_superseded(const replica_id& id) const;

    /// Returns the member on the same VM with another storage incarnation, if
    /// there is one.
    std::optional<replica_id> other_incarnation(const replica_id& id) const;

    /// Returns the membership after the change, or nothing if the change is
    /// invalid: a replica to add is a member already, a replica to promote or
    /// remove is not a member, a member to promote votes already, the last
    /// voter would be removed, or two incarnations of one VM would vote.
    std::optional<membership> changed(const membership_change& change) const;

    std::string encode() const;
    static std::optional<membership> decode(std::string_view bytes);

    friend bool operator==(const membership&, const membership&) = default;

private:
    std::map<replica_id, member_role> m_members;
};

} // namespace limpet::consensus
