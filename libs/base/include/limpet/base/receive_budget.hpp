/// \file
/// Bound on the memory of all messages that a process receives and holds.

#pragma once

#include <limpet/base/units.hpp>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace limpet
{

/// Divides the memory for messages among them. Large ones cannot take all of
/// it, so that small ones are received beside any number of them. Messages that
/// have stopped arriving, or arrive too slowly, yield to those that need room.
/// Takes the time as an argument; not thread-safe.
class receive_budget
{
public:
    /// Names a message; unique while it is kept.
    using message_key = const void*;

    /// Largest message that counts as small. Prompts are of a few kilobytes.
    static constexpr std::size_t small_bytes = 64UL * 1024;
    /// Large messages leave this fraction (1/n) of the memory to small ones.
    static constexpr std::size_t small_share_divisor = 4;
    /// Time without a byte after which a message yields its room.
    static constexpr duration stall_time = milliseconds(500);
    /// Time after its first byte in which a small message arrives on any usable
    /// connection; later it yields its room to other small ones.
    static constexpr duration small_receive_time = seconds(2);
    /// A large message that arrives more slowly, once that time has passed,
    /// yields its room to other large ones.
    static constexpr double lowest_bytes_per_second = 16 * 1024;

    explicit receive_budget(std::size_t total_bytes);

    /// Records that the message takes so many bytes now. Returns false if there
    /// is no room; it is then as before. Adds the messages that yield their
    /// room, which are forgotten, to `evicted`.
    bool resize(message_key message,
                std::size_t bytes,
                time_point now,
                std::vector<message_key>& evicted);

    /// Records that the message has been received: it keeps its room.
    void set_complete(message_key message);

    void release(message_key message);

    std::size_t used_bytes() const noexcept
    {
        return m_used;
    }

private:
    struct entry
    {
        std::size_t bytes = 0;
        time_point begun{};
        time_point progressed{};
        bool is_complete = false;
    };

    using entry_map = std::unordered_map<message_key, entry>;

    static bool is_large(std::size_t bytes) noexcept
    {
        return bytes > small_bytes;
    }

    static bool must_yield(const entry& message, bool to_large, time_point now);
    bool fits(std::size_t before, std::size_t bytes) const;
    entry_map::iterator
    find_victim(message_key except, bool for_large, time_point now);
    void subtract(std::size_t bytes);

    std::size_t m_total;
    std::size_t m_used = 0;
    std::size_t m_large_used = 0;
    entry_map m_messages;
};

} // namespace limpet
