#include <limpet/placement/chat_directory.hpp>

#include <algorithm>

namespace limpet::placement
{

chat_directory::chat_directory(std::size_t capacity, duration retention)
    : m_capacity(capacity),
      m_retention(retention)
{
}

void chat_directory::record(chat_key chat,
                            const engine_id& engine,
                            incarnation run,
                            token_count tokens,
                            time_point now)
{
    evict_expired(now);
    const auto found = m_index.find(chat);
    if (found == m_index.end())
    {
        m_entries.push_front({chat, {}});
        m_index.emplace(chat, m_entries.begin());
    }
    else
    {
        m_entries.splice(m_entries.begin(), m_entries, found->second);
    }
    chat_holders& holders = m_entries.front().holders;
    holders.erase(std::remove_if(holders.begin(),
                                 holders.end(),
                                 [&engine](const chat_holder& item)
                                 {
                                     return item.engine == engine;
                                 }),
                  holders.end());
    if (holders.size() == max_chat_holders)
    {
        holders.pop_back();
    }
    holders.insert(holders.begin(), {engine, run, tokens, now});
    if (m_entries.size() > m_capacity)
    {
        m_index.erase(m_entries.back().chat);
        m_entries.pop_back();
    }
}

chat_holders chat_directory::find(chat_key chat, time_point now) const
{
    const auto found = m_index.find(chat);
    if (found == m_index.end())
    {
        return {};
    }
    chat_holders holders;
    for (const chat_holder& item : found->second->holders)
    {
        if (now - item.used_at <= m_retention)
        {
            holders.push_back(item);
        }
    }
    std::stable_sort(holders.begin(),
                     holders.end(),
                     [](const chat_holder& left, const chat_holder& right)
                     {
                         return left.tokens > right.tokens;
                     });
    return holders;
}

void chat_directory::erase(chat_key chat)
{
    const auto found = m_index.find(chat);
    if (found != m_index.end())
    {
        m_entries.erase(found->second);
        m_index.erase(found);
    }
}

std::size_t chat_directory::size() const noexcept
{
    return m_entries.size();
}

void chat_directory::evict_expired(time_point now)
{
    while (!m_entries.empty() &&
           now - m_entries.back().holders.front().used_at > m_retention)
    {
        m_index.erase(m_entries.back().chat);
        m_entries.pop_back();
    }
}

} // namespace limpet::placement
