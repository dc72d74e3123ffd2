/// \file
/// Shares of partners and teams.

#pragma once

#include <limpet/base/ids.hpp>

#include <unordered_map>

namespace limpet::admission
{

/// Relative shares from the configuration in force. Partners and teams without
/// an entry have a share of 1.
struct share_table
{
    std::unordered_map<partner_id, double> partners;
    std::unordered_map<team_id, double> teams;
    /// Fraction of each engine's slots, 0 to 1, that is guaranteed to a
    /// partner.
    std::unordered_map<partner_id, double> guarantees;

    /// Returns the partner's relative share.
    double share_of(const partner_id& partner) const;

    /// Returns the team's relative share within its partner.
    double share_of(const team_id& team) const;

    /// Returns the fraction of an engine's slots that is guaranteed to the
    /// partner: its configured guarantee, or without one its fraction of the
    /// shares.
    double guarantee_of(const partner_id& partner) const;

    /// Returns the partner's fraction of the sum of all partners' shares, 0 to
    /// 1.
    double fraction_of(const partner_id& partner) const;
};

} // namespace limpet::admission
