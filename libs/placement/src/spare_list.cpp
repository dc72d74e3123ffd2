#include <limpet/placement/spare_list.hpp>

#include <algorithm>

namespace limpet::placement
{

spare_list::spare_list(duration keep)
    : m_keep(keep)
{
}

void spare_list::report(const vm_id& source, const spare_engine& spare)
{
    const auto place = std::find_if(m_rows.begin(),
                                    m_rows.end(),
                                    [&source](const row& item)
                                    {
                                        return item.source == source;
                                    });
    if (place == m_rows.end())
    {
        m_rows.push_back({source, spare});
    }
    else if (place->spare.taken_at <= spare.taken_at)
    {
        place->spare = spare;
    }
}

void spare_list::forget(const vm_id& source)
{
    m_rows.erase(std::remove_if(m_rows.begin(),
                                m_rows.end(),
                                [&source](const row& item)
                                {
                                    return item.source == source;
                                }),
                 m_rows.end());
}

std::optional<engine_id> spare_list::take(double draw, time_point now)
{
    const auto room_of = [&](const row& item) -> double
    {
        return now - item.spare.taken_at <= m_keep ? item.spare.room : 0;
    };
    double total = 0;
    for (const row& item : m_rows)
    {
        total += room_of(item);
    }
    double left = draw * total;
    for (row& item : m_rows)
    {
        const double room = room_of(item);
        if (room > 0 && left < room)
        {
            --item.spare.room;
            return item.spare.engine;
        }
        left -= room;
    }
    return std::nullopt;
}

} // namespace limpet::placement
