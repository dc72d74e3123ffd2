/// \file
/// Bound on the callers' data that is queued for all peers.

#pragma once

#include <atomic>
#include <cstddef>

namespace limpet::wire
{

/// Counts the bytes of large frames that are queued. Small ones do not count:
/// the responses of handed-over requests are bounded by their credit, and small
/// requests by their number. Thread-safe.
class queue_budget
{
public:
    /// Largest frame that counts as small.
    static constexpr std::size_t small_bytes = 64UL * 1024;

    explicit queue_budget(std::size_t total_bytes)
        : m_total(total_bytes)
    {
    }

    /// Returns what a frame of the size takes from the budget.
    static std::size_t counted(std::size_t frame_bytes) noexcept
    {
        return frame_bytes > small_bytes ? frame_bytes : 0;
    }

    /// Takes bytes if there are as many left.
    bool try_take(std::size_t bytes) noexcept
    {
        if (m_used.fetch_add(bytes) + bytes <= m_total || bytes == 0)
        {
            return true;
        }
        m_used -= bytes;
        return false;
    }

    void give_back(std::size_t bytes) noexcept
    {
        m_used -= bytes;
    }

private:
    const std::size_t m_total;
    std::atomic<std::size_t> m_used = 0;
};

} // namespace limpet::wire
