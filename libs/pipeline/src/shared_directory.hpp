/// \file
/// Chat directory that can be used from several threads.

#pragma once

#include <limpet/placement/chat_directory.hpp>

#include <array>
#include <memory>
#include <mutex>

namespace limpet::pipeline
{

/// Chat directory split into shards, each with its own lock. Thread-safe.
class shared_directory
{
public:
    /// Stores about `capacity` chats over all shards. An entry expires
    /// `retention` after the chat's last recorded turn.
    shared_directory(std::size_t capacity, duration retention);

    /// See placement::chat_directory::record.
    void record(placement::chat_key chat,
                const engine_id& engine,
                incarnation run,
                token_count tokens,
                time_point now);

    /// See placement::chat_directory::find.
    placement::chat_holders find(placement::chat_key chat,
                                 time_point now) const;

    /// Removes the chat's entry if the engine is the holder of its longest
    /// prefix.
    void erase_if_best_holder(placement::chat_key chat,
                              const engine_id& engine);

    /// Returns the number of chats in all shards.
    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard
    {
        shard(std::size_t capacity, duration keep)
            : chats(capacity, keep)
        {
        }

        std::mutex mutex;
        placement::chat_directory chats;
    };

    shard& shard_of(placement::chat_key chat) const;

    std::array<std::unique_ptr<shard>, shard_count> m_shards;
};

} // namespace limpet::pipeline
