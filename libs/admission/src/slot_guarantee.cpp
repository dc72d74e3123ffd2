#include <limpet/admission/slot_guarantee.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::admission
{

slot_guarantee::slot_guarantee(double margin)
    : m_margin(margin)
{
}

void slot_guarantee::add(const partner_id& partner)
{
    ++m_total;
    ++m_in_flight[partner];
}

void slot_guarantee::remove(const partner_id& partner)
{
    const auto found = m_in_flight.find(partner);
    if (found == m_in_flight.end())
    {
        return;
    }
    --m_total;
    if (--found->second == 0)
    {
        m_in_flight.erase(found);
    }
}

std::uint32_t slot_guarantee::in_flight() const noexcept
{
    return m_total;
}

std::uint32_t slot_guarantee::in_flight(const partner_id& partner) const
{
    const auto found = m_in_flight.find(partner);
    return found == m_in_flight.end() ? 0 : found->second;
}

bool slot_guarantee::is_below_guarantee(const partner_id& partner,
                                        std::uint32_t slots,
                                        const share_table& shares) const
{
    const double guarantee = slots * shares.guarantee_of(partner);
    return in_flight(partner) + 1 <= guarantee;
}

bool slot_guarantee::may_start(const partner_id& partner,
                               std::uint32_t slots,
                               const share_table& shares) const
{
    if (m_total >= slots)
    {
        return false;
    }
    if (is_below_guarantee(partner, slots, shares))
    {
        return true;
    }
    double reserved = 0;
    for (const auto& [other, share] : shares.partners)
    {
        if (other != partner)
        {
            const double guarantee = slots * shares.guarantee_of(other);
            const double unused = guarantee - in_flight(other);
            reserved +=
                std::floor(std::clamp(unused, 0.0, m_margin * guarantee));
        }
    }
    return m_total + 1 + reserved <= slots;
}

} // namespace limpet::admission
