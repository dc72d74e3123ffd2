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
    learner, ///< Receives the log, does not count for a quorum.
    voter
};

/// What a change does to one member.
enum class change_kind : std::uint8_t
{
    add_learner,
    promote,
    remove
};

/// A change of one member.
struct membership_change
{
    change_kind kind = change_kind::add_learner;
    replica_id member;
};

/// Members of a group. Consecutive memberships differ in at most one voter,
/// so that their quorums overlap.
class membership
{
public:
    membership() = default;

    /// Returns the membership of a new group of one voter.
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

    /// Returns the number of voters that decide.
    std::size_t quorum() const;

    /// Returns whether the replica is no member, but a later incarnation of
    /// its VM's storage is. Such a replica lost its place.
    bool is_superseded(const replica_id& id) const;

    /// Returns the member on the same VM with another incarnation.
    std::optional<replica_id> other_incarnation(const replica_id& id) const;

    /// Returns the membership after the change, or nothing if the change does
    /// not fit: the member is or is not there already, the last voter
    /// would go, or two incarnations of one VM would vote.
    std::optional<membership> changed(const membership_change& change) const;

    std::string encode() const;
    static std::optional<membership> decode(std::string_view bytes);

    friend bool operator==(const membership&, const membership&) = default;

private:
    std::map<replica_id, member_role> m_members;
};

} // namespace limpet::consensus
