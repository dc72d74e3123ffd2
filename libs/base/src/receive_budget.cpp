#include <limpet/base/receive_budget.hpp>

namespace limpet
{

receive_budget::receive_budget(std::size_t total_bytes)
    : m_total(total_bytes)
{
}

bool receive_budget::resize(message_key message,
                            std::size_t bytes,
                            time_point now,
                            std::vector<message_key>& evicted)
{
    const auto known = m_messages.find(message);
    const std::size_t before =
        known == m_messages.end() ? 0 : known->second.bytes;
    while (!fits(before, bytes))
    {
        const auto victim = find_victim(message, is_large(bytes), now);
        if (victim == m_messages.end())
        {
            return false;
        }
        subtract(victim->second.bytes);
        evicted.push_back(victim->first);
        m_messages.erase(victim);
    }
    entry& taken = m_messages[message];
    if (taken.bytes == 0)
    {
        taken.begun = now;
    }
    subtract(before);
    taken.bytes = bytes;
    taken.progressed = now;
    m_used += bytes;
    m_large_used += is_large(bytes) ? bytes : 0;
    return true;
}

void receive_budget::set_complete(message_key message)
{
    const auto found = m_messages.find(message);
    if (found != m_messages.end())
    {
        found->second.is_complete = true;
    }
}

void receive_budget::release(message_key message)
{
    const auto found = m_messages.find(message);
    if (found != m_messages.end())
    {
        subtract(found->second.bytes);
        m_messages.erase(found);
    }
}

bool receive_budget::fits(std::size_t before, std::size_t bytes) const
{
    const std::size_t others = m_used - before;
    const std::size_t large_others =
        m_large_used - (is_large(before) ? before : 0);
    const bool has_room = others + bytes <= m_total;
    const bool has_large_room =
        !is_large(bytes) ||
        large_others + bytes <= m_total - m_total / small_share_divisor;
    return has_room && has_large_room;
}

/// Returns whether the message yields to one of the given size.
bool receive_budget::must_yield(const entry& message,
                                bool to_large,
                                time_point now)
{
    if (message.is_complete || (to_large && !is_large(message.bytes)))
    {
        return false;
    }
    const duration age = now - message.begun;
    const bool is_late = age >= small_receive_time;
    const bool is_slow = static_cast<double>(message.bytes) <
                         to_seconds(age) * lowest_bytes_per_second;
    const bool is_overdue =
        is_late && (is_large(message.bytes) ? is_slow : !to_large);
    return is_overdue || message.progressed + stall_time <= now;
}

/// Returns the message that has been without progress longest, of those that
/// have to yield to one of the given size.
receive_budget::entry_map::iterator
receive_budget::find_victim(message_key except, bool for_large, time_point now)
{
    auto victim = m_messages.end();
    for (auto each = m_messages.begin(); each != m_messages.end(); ++each)
    {
        const entry& message = each->second;
        if (each->first != except && must_yield(message, for_large, now) &&
            (victim == m_messages.end() ||
             message.progressed < victim->second.progressed))
        {
            victim = each;
        }
    }
    return victim;
}

void receive_budget::subtract(std::size_t bytes)
{
    m_used -= bytes;
    m_large_used -= is_large(bytes) ? bytes : 0;
}

} // namespace limpet
