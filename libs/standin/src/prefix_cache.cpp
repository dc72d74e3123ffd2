#include "prefix_cache.hpp"

#include <algorithm>
#include <utility>

namespace limpet::standin
{

namespace
{

token_count sum(token_count first, token_count second)
{
    return token_count(first.get() + second.get());
}

token_count difference(token_count first, token_count second)
{
    return token_count(first.get() - second.get());
}

} // namespace

prefix_cache::prefix_cache(token_count limit)
    : m_limit(limit)
{
}

token_count prefix_cache::cached_prompt_tokens(const chat_id& chat,
                                               token_count prompt) const
{
    return std::min(tokens_of(chat), prompt);
}

token_count prefix_cache::tokens_of(const chat_id& chat) const
{
    const auto found = m_entries.find(chat);
    return found == m_entries.end() ? token_count() : found->second->tokens;
}

void prefix_cache::store(const chat_id& chat, token_count tokens)
{
    if (chat.get().empty() || tokens > m_limit)
    {
        return;
    }
    const auto found = m_entries.find(chat);
    if (found != m_entries.end())
    {
        m_total = difference(m_total, found->second->tokens);
        m_recency.erase(found->second);
        m_entries.erase(found);
    }
    else
    {
        m_changes.added.push_back(chat.get());
    }
    m_recency.push_front({chat, tokens});
    m_entries.emplace(chat, m_recency.begin());
    m_total = sum(m_total, tokens);
    while (m_total > m_limit)
    {
        evict(std::prev(m_recency.end()));
    }
}

void prefix_cache::clear()
{
    while (!m_recency.empty())
    {
        evict(std::prev(m_recency.end()));
    }
}

cache_changes prefix_cache::take_changes()
{
    return std::exchange(m_changes, {});
}

void prefix_cache::evict(recency_list::iterator item)
{
    m_total = difference(m_total, item->tokens);
    m_changes.dropped.push_back(item->chat.get());
    m_entries.erase(item->chat);
    m_recency.erase(item);
}

} // namespace limpet::standin
