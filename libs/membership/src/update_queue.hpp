/// \file
/// Queue of changes to transmit to other routers.

#pragma once

#include "message.hpp"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace limpet::membership
{

/// Kind of the record that a queued change refers to.
enum class record_kind : std::uint8_t
{
    router,
    engine
};

/// Tracks which records changed and how many transmissions of each change
/// remain. The records are looked up at transmission, so that only the latest
/// version of a record is sent. When the queue is full, it drops the change
/// with the fewest transmissions left.
class update_queue
{
public:
    struct entry
    {
        std::uint32_t transmissions_left = 0;
        /// Whether receivers need the full record rather than its status.
        bool full_record = false;
    };

    /// Queues a change for the given number of transmissions.
    void add(record_kind kind,
             key name,
             std::uint32_t transmissions,
             bool full_record);

    bool empty() const noexcept
    {
        return m_entries.empty();
    }

    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

    /// Calls visit(kind, key, full_record) for the changes in order, those with
    /// the most transmissions left first, until it returns false. Counts each
    /// change for which it returned true as sent to the given number of
    /// routers.
    template <class Visit>
    void send(std::uint32_t copies, Visit visit)
    {
        std::vector<id> sent;
        for (const auto& [transmissions_left, one] : m_order)
        {
            if (!visit(one.first, one.second, m_entries.at(one).full_record))
            {
                break;
            }
            sent.push_back(one);
        }
        for (const auto& one : sent)
        {
            count_sent(one, copies);
        }
    }

private:
    using id = std::pair<record_kind, key>;
    using rank = std::pair<std::uint32_t, id>;

    void count_sent(const id& one, std::uint32_t copies);

    std::map<id, entry> m_entries;
    /// Changes in descending order of the transmissions left.
    std::set<rank, std::greater<>> m_order;
};

} // namespace limpet::membership
