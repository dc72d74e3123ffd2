#include "shared_directory.hpp"

namespace limpet::pipeline
{

shared_directory::shared_directory(std::size_t capacity, duration retention)
{
    for (auto& part : m_shards)
    {
        part = std::make_unique<shard>(capacity / shard_count + 1, retention);
    }
}

void shared_directory::record(placement::chat_key chat,
                              const engine_id& engine,
                              incarnation run,
                              token_count tokens,
                              time_point now)
{
    shard& part = shard_of(chat);
    const std::lock_guard lock(part.mutex);
    part.chats.record(chat, engine, run, tokens, now);
}

placement::chat_holders shared_directory::find(placement::chat_key chat,
                                               time_point now) const
{
    shard& part = shard_of(chat);
    const std::lock_guard lock(part.mutex);
    return part.chats.find(chat, now);
}

void shared_directory::erase_if_best_holder(placement::chat_key chat,
                                            const engine_id& engine)
{
    shard& part = shard_of(chat);
    const std::lock_guard lock(part.mutex);
    const auto holders = part.chats.find(chat, monotonic_clock::now());
    if (!holders.empty() && holders.front().engine == engine)
    {
        part.chats.erase(chat);
    }
}

std::size_t shared_directory::size() const
{
    std::size_t total = 0;
    for (const auto& part : m_shards)
    {
        const std::lock_guard lock(part->mutex);
        total += part->chats.size();
    }
    return total;
}

shared_directory::shard&
shared_directory::shard_of(placement::chat_key chat) const
{
    return *m_shards[chat.get() % shard_count];
}

} // namespace limpet::pipeline
