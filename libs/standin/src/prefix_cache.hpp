/// \file
/// Prefix cache of a fake engine.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpet::standin
{

/// Chats added to and evicted from a cache since the last call of
/// take_changes.
struct cache_changes
{
    std::vector<std::string> added;
    std::vector<std::string> dropped;
};

/// Number of cached tokens of each chat, with least-recently-stored eviction.
/// Not thread-safe.
class prefix_cache
{
public:
    explicit prefix_cache(token_count limit);

    /// Returns how many tokens of the chat's prompt are cached.
    token_count cached_prompt_tokens(const chat_id& chat,
                                     token_count prompt) const;

    /// Sets the chat's number of cached tokens and evicts other chats to stay
    /// within the limit. Ignores chats without an id and chats over the limit.
    void store(const chat_id& chat, token_count tokens);

    /// Returns all cached tokens of the chat, 0 if it is not cached.
    token_count tokens_of(const chat_id& chat) const;

    /// Evicts all chats.
    void clear();

    /// Returns the number of cached tokens of all chats.
    token_count total() const noexcept
    {
        return m_total;
    }

    /// Returns the changes since the last call.
    cache_changes take_changes();

private:
    struct entry
    {
        chat_id chat;
        token_count tokens;
    };
    using recency_list = std::list<entry>;

    void evict(recency_list::iterator item);

    token_count m_limit;
    token_count m_total;
    /// Most recently stored chat first.
    recency_list m_recency;
    std::unordered_map<chat_id, recency_list::iterator> m_entries;
    cache_changes m_changes;
};

} // namespace limpet::standin
