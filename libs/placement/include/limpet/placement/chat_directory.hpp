/// \file
/// Directory of the engines that hold recent chats in their caches.

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

/// An engine that served a chat and so holds a prefix of it.
struct chat_holder
{
    engine_id engine;
    incarnation run;
    /// Length of the prefix that the engine held after the chat's last turn
    /// there.
    token_count tokens;
    time_point used_at;
};

/// Engines that one chat remembers.
inline constexpr std::size_t max_chat_holders = 3;

/// The holders of one chat, the one used last first.
using chat_holders =
    boost::container::static_vector<chat_holder, max_chat_holders>;

/// Bounded directory of the chats whose home this router owns. It is a hint
/// that may be lost at any time. The chat that was used longest ago makes
/// room for a new one. Not thread-safe.
class chat_directory
{
public:
    /// Keeps at most `capacity` chats, each for at most `keep` after its last
    /// turn.
    chat_directory(std::size_t capacity, duration keep);

    /// Records that the engine served a turn of the chat, after which its
    /// cache holds `tokens` of it.
    void record(chat_key chat,
                const engine_id& engine,
                incarnation run,
                token_count tokens,
                time_point now);

    /// Returns the chat's holders, the longest prefix first; empty if the
    /// chat is unknown or was last used too long ago.
    chat_holders find(chat_key chat, time_point now) const;

    /// Forgets the chat.
    void forget(chat_key chat);

    /// Returns the number of chats.
    std::size_t size() const noexcept;

private:
    struct entry
    {
        chat_key chat;
        chat_holders holders;
    };
    using entry_list = std::list<entry>;

    void expire(time_point now);

    std::size_t m_capacity;
    duration m_keep;
    entry_list m_entries;
    std::unordered_map<chat_key, entry_list::iterator> m_index;
};

} // namespace limpet::placement
