#include "update_queue.hpp"

#include <algorithm>

namespace limpet::membership
{

void update_queue::add(subject about, key id, std::uint32_t sends, bool whole)
{
    auto& one = m_entries[{about, id}];
    one.sends_left = sends;
    one.whole = one.whole || whole;
}

std::vector<update_queue::name> update_queue::by_sends_left() const
{
    std::vector<name> names;
    names.reserve(m_entries.size());
    for (const auto& [id, one] : m_entries)
    {
        names.push_back(id);
    }
    std::ranges::stable_sort(names,
                             std::greater<>(),
                             [this](const name& one)
                             {
                                 return m_entries.at(one).sends_left;
                             });
    return names;
}

} // namespace limpet::membership
