#include <limpet/placement/spare_list.hpp>

#include <algorithm>

namespace limpet::placement
{

spare_list::spare_list(duration max_age)
    : m_max_age(max_age)
{
}

void spare_list::report(const vm_id& source, const spare_engine& spare)
{
    const auto found = std::find_if(m_entries.begin(),
                                    m_entries.end(),
                                    [&source](const entry& item)
                                    {
                                        return item.source == source;
                                    });
    if (found == m_entries.end())
    {
        m_entries.push_back({source, spare});
    }
    else if (found->spare.reported_at <= spare.reported_at)
    {
        found->spare = spare;
    }
}

void spare_list::remove_source(const vm_id& source)
{
    m_entries.erase(std::remove_if(m_entries.begin(),
                                   m_entries.end(),
                                   [&source](const entry& item)
                                   {
                                       return item.source == source;
                                   }),
                    m_entries.end());
}

std::optional<engine_id> spare_list::take(double draw, time_point now)
{
    const auto free_slots_of = [&](const entry& item) -> double
    {
        return now - item.spare.reported_at <= m_max_age ? item.spare.room : 0;
    };
    double total = 0;
    for (const entry& item : m_entries)
    {
        total += free_slots_of(item);
    }
    double remaining = draw * total;
    for (entry& item : m_entries)
    {
        const double free_slots = free_slots_of(item);
        if (free_slots > 0 && remaining < free_slots)
        {
            --item.spare.room;
            return item.spare.engine;
        }
        remaining -= free_slots;
    }
    return std::nullopt;
}

} // namespace limpet::placement
