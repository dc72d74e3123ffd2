#include "update_queue.hpp"

namespace limpet::membership
{

namespace
{

constexpr std::size_t max_entries = 32;

} // namespace

void update_queue::add(subject about, key name, std::uint32_t sends, bool whole)
{
    const id which{about, name};
    auto& one = m_entries[which];
    m_order.erase({one.sends_left, which});
    one.sends_left = sends;
    one.whole = one.whole || whole;
    m_order.insert({one.sends_left, which});
    if (m_entries.size() > max_entries)
    {
        // Comparing the lists makes up for changes that are dropped here.
        m_entries.erase(m_order.rbegin()->second);
        m_order.erase(std::prev(m_order.end()));
    }
}

void update_queue::count_sent(const id& which, std::uint32_t copies)
{
    auto& one = m_entries.at(which);
    m_order.erase({one.sends_left, which});
    if (one.sends_left <= copies)
    {
        m_entries.erase(which);
        return;
    }
    one.sends_left -= copies;
    m_order.insert({one.sends_left, which});
}

} // namespace limpet::membership
