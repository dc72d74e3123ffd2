/// \file
/// Changes that still have to be passed on.

#pragma once

#include "message.hpp"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace limpet::membership
{

/// What a queued change is about.
enum class record_kind : std::uint8_t
{
    router,
    engine
};

/// Remembers which records changed and how often each change is still to be
/// sent. The records themselves are looked up when they are sent, so that a
/// newer change replaces an older one.
class update_queue
{
public:
    struct entry
    {
        std::uint32_t transmissions_left = 0;
        /// Whether the receivers need the whole record.
        bool full_record = false;
    };

    /// Queues a change for the given number of transmissions.
    void add(record_kind about, key name, std::uint32_t sends, bool whole);

    bool empty() const noexcept
    {
        return m_entries.empty();
    }

    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

    /// Calls visit(subject, key, whole) for the changes sent least so far,
    /// until it returns false, and counts each visited one as sent.
    template <class Visit>
    void send(std::uint32_t copies, Visit visit)
    {
        std::vector<id> sent;
        for (const auto& [sends_left, one] : m_order)
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
    /// The changes with the most transmissions left first.
    std::set<rank, std::greater<>> m_order;
};

} // namespace limpet::membership
