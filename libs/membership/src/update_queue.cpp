#include "update_queue.hpp"

namespace limpet::membership
{

namespace
{

constexpr std::size_t max_entries = 32;

} // namespace

void update_queue::add(record_kind kind,
                       key name,
                       std::uint32_t transmissions,
                       bool full_record)
{
    const id which{kind, name};
    auto& one = m_entries[which];
    m_order.erase({one.transmissions_left, which});
    one.transmissions_left = transmissions;
    one.full_record = one.full_record || full_record;
    m_order.insert({one.transmissions_left, which});
    if (m_entries.size() > max_entries)
    {
        // Anti-entropy transfers the changes that are dropped here.
        m_entries.erase(m_order.rbegin()->second);
        m_order.erase(std::prev(m_order.end()));
    }
}

void update_queue::count_sent(const id& which, std::uint32_t copies)
{
    auto& one = m_entries.at(which);
    m_order.erase({one.transmissions_left, which});
    if (one.transmissions_left <= copies)
    {
        m_entries.erase(which);
        return;
    }
    one.transmissions_left -= copies;
    m_order.insert({one.transmissions_left, which});
}

} // namespace limpet::membership
