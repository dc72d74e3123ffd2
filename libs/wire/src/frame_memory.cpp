#include "frame_memory.hpp"

#include "incoming_link.hpp"

#include <vector>

namespace limpet::wire
{

frame_memory::frame_memory(std::size_t total_bytes)
    : m_budget(total_bytes)
{
}

bool frame_memory::resize(const std::shared_ptr<incoming_link>& link,
                          std::size_t bytes)
{
    std::vector<receive_budget::message_key> evicted;
    std::vector<std::shared_ptr<incoming_link>> ended;
    bool has_room = false;
    {
        const std::lock_guard lock(m_mutex);
        has_room =
            m_budget.resize(link.get(), bytes, monotonic_clock::now(), evicted);
        if (has_room)
        {
            m_links[link.get()] = link;
        }
        for (const auto key : evicted)
        {
            const auto found = m_links.find(key);
            if (found != m_links.end())
            {
                ended.push_back(found->second.lock());
                m_links.erase(found);
            }
        }
    }
    for (const auto& each : ended)
    {
        if (each)
        {
            each->post_close();
        }
    }
    return has_room;
}

void frame_memory::release(const incoming_link* link)
{
    const std::lock_guard lock(m_mutex);
    m_budget.release(link);
    m_links.erase(link);
}

} // namespace limpet::wire
