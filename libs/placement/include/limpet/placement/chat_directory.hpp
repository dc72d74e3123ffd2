/// \file
/// Directory of the engines whose prefix caches hold recent chats.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>
#include <limpet/placement/chat_key.hpp>

#include <boost/container/static_vector.hpp>

#include <cstddef>
#include <list>
#include <unordered_map>

namespace limpet::placement
{

/// An engine that served a turn of a chat and whose cache therefore holds a
/// prefix of it.
struct chat_holder
{
    engine_id engine;
    incarnation run;
    /// Length of the cached prefix after the engine's last turn of the chat.
    token_count tokens;
    time_point used_at;
};

/// Maximum number of engines recorded per chat.
inline constexpr std::size_t max_chat_holders = 3;

/// Engines that hold one chat's prefix, most recently used first.
using chat_holders =
    boost::container::static_vector<chat_holder, max_chat_holders>;

/// LRU directory of the chats whose rendezvous engine this router owns. Entries
/// are hints: losing one costs cache reuse, not correctness. When the directory
/// is full, a new chat evicts the least recently used one. Not thread-safe.
class chat_directory
{
public:
    /// Stores at most `capacity` chats. An entry expires `retention` after the
    /// chat's last recorded turn.
    chat_directory(std::size_t capacity, duration retention);

    /// Records that the engine served a turn of the chat, after which its cache
    /// holds `tokens` tokens of the chat.
    void record(chat_key chat,
                const engine_id& engine,
                incarnation run,
                token_count tokens,
                time_point now);

    /// Returns the engines that hold the chat, longest prefix first. Empty if
    /// the chat is unknown or its entries have expired.
    chat_holders find(chat_key chat, time_point now) const;

    /// Removes the chat's entry, if there is one.
    void erase(chat_key chat);

    /// Returns the number of chats in the directory.
    std::size_t size() const noexcept;

private:
    struct entry
    {
        chat_key chat;
        chat_holders holders;
    };
    using entry_list = std::list<entry>;

    void evict_expired(time_point now);

    std::size_t m_capacity;
    duration m_retention;
    entry_list m_entries;
    std::unordered_map<chat_key, entry_list::iterator> m_index;
};

} // namespace limpet::placement
