/// \file
/// Prompt prefixes that a fake engine keeps.

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

/// Changes of a cache since they were last taken.
struct cache_changes
{
    std::vector<std::string> added;
    std::vector<std::string> dropped;
};

/// Number of cached tokens for each chat; the chat used longest ago goes
/// first. Not thread-safe.
class prefix_cache
{
public:
    explicit prefix_cache(token_count limit);

    /// Returns the cached tokens of the chat's prompt.
    token_count cached(const chat_id& chat, token_count prompt) const;

    /// Keeps the chat with its tokens. A chat without an id is not kept.
    void store(const chat_id& chat, token_count tokens);

    /// Returns all tokens of the chat, 0 if it is not kept.
    token_count tokens_of(const chat_id& chat) const;

    /// Drops everything.
    void clear();

    /// Returns the number of tokens kept.
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
    using order = std::list<entry>;

    void drop(order::iterator item);

    token_count m_limit;
    token_count m_total;
    /// The chat used last comes first.
    order m_order;
    std::unordered_map<chat_id, order::iterator> m_entries;
    cache_changes m_changes;
};

} // namespace limpet::standin
