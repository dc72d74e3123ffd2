/// \file
/// Slots of an engine that are kept for each partner.

#pragma once

#include <limpet/admission/share_table.hpp>
#include <limpet/base/ids.hpp>

#include <cstdint>
#include <unordered_map>

namespace limpet::admission
{

/// Counts each partner's requests on one engine. A partner may use all slots
/// but a margin of each other partner's guarantee that the other does not use.
/// The margin is free at once; the rest comes back with completions, which go
/// first to partners below their guarantee. Not thread-safe.
class slot_guarantee
{
public:
    /// `margin` is the part of a guarantee that others may not borrow.
    explicit slot_guarantee(double margin);

    /// Counts a started request.
    void add(const partner_id& partner);

    /// Counts a finished request.
    void remove(const partner_id& partner);

    /// Returns the number of requests in flight.
    std::uint32_t in_flight() const noexcept;

    /// Returns the number of the partner's requests in flight.
    std::uint32_t in_flight(const partner_id& partner) const;

    /// Returns whether the partner uses less than its guarantee of the slots.
    bool is_below(const partner_id& partner,
                  std::uint32_t slots,
                  const share_table& shares) const;

    /// Returns whether the partner may start another request.
    bool may_start(const partner_id& partner,
                   std::uint32_t slots,
                   const share_table& shares) const;

private:
    double m_margin;
    std::uint32_t m_total = 0;
    std::unordered_map<partner_id, std::uint32_t> m_in_flight;
};

} // namespace limpet::admission
