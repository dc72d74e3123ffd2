/// \file
/// Slots of an engine that are guaranteed to each partner.

#pragma once

#include <limpet/admission/share_table.hpp>
#include <limpet/base/ids.hpp>

#include <cstdint>
#include <unordered_map>

namespace limpet::admission
{

/// Counts each partner's requests on one engine. A partner may borrow the
/// unused slots of other partners' guarantees, except for a margin of each
/// guarantee that stays reserved. So a partner that returns from idle gets the
/// margin at once and the rest as requests complete, since freed slots go first
/// to partners below their guarantee. Not thread-safe.
class slot_guarantee
{
public:
    /// `margin` is the fraction of a guarantee, 0 to 1, that other partners may
    /// not borrow.
    explicit slot_guarantee(double margin);

    /// Counts a started request.
    void add(const partner_id& partner);

    /// Counts a finished request.
    void remove(const partner_id& partner);

    /// Returns the number of requests in flight.
    std::uint32_t in_flight() const noexcept;

    /// Returns the number of the partner's requests in flight.
    std::uint32_t in_flight(const partner_id& partner) const;

    /// Returns whether the partner could start another request within its
    /// guarantee of the slots.
    bool is_below_guarantee(const partner_id& partner,
                            std::uint32_t slots,
                            const share_table& shares) const;

    /// Returns whether the partner may start another request, within its
    /// guarantee or by borrowing.
    bool may_start(const partner_id& partner,
                   std::uint32_t slots,
                   const share_table& shares) const;

private:
    double m_margin;
    std::uint32_t m_total = 0;
    std::unordered_map<partner_id, std::uint32_t> m_in_flight;
};

} // namespace limpet::admission
