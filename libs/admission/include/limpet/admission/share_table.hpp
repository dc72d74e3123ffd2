/// \file
/// Shares of partners and teams.

#pragma once

#include <limpet/base/ids.hpp>

#include <unordered_map>

namespace limpet::admission
{

/// Relative shares from the configuration in force. Partners and teams that
/// are not named have a share of 1.
struct share_table
{
    std::unordered_map<partner_id, double> partners;
    std::unordered_map<team_id, double> teams;
    /// Part of each engine's slots, 0 to 1, that a partner is sure of.
    std::unordered_map<partner_id, double> guarantees;

    /// Returns the partner's relative share.
    double share_of(const partner_id& partner) const;

    /// Returns the team's relative share within its partner.
    double share_of(const team_id& team) const;

    /// Returns the part of an engine's slots that the partner is sure of: its
    /// guarantee, or its part of the shares if it has none.
    double guarantee_of(const partner_id& partner) const;

    /// Returns the partner's part of all partners' shares, 0 to 1.
    double part_of(const partner_id& partner) const;
};

} // namespace limpet::admission
