/// \file
/// Changes that still have to be passed on.

#pragma once

#include "message.hpp"

#include <map>
#include <utility>

namespace limpet::membership
{

/// What a queued change is about.
enum class subject : std::uint8_t
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
        std::uint32_t sends_left = 0;
        /// Whether the receivers need the whole record.
        bool whole = false;
    };

    /// Queues a change for the given number of transmissions.
    void add(subject about, key id, std::uint32_t sends, bool whole);

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
        for (const auto& id : by_sends_left())
        {
            auto& one = m_entries.at(id);
            if (!visit(id.first, id.second, one.whole))
            {
                return;
            }
            if (one.sends_left <= copies)
            {
                m_entries.erase(id);
                continue;
            }
            one.sends_left -= copies;
        }
    }

private:
    using name = std::pair<subject, key>;

    std::vector<name> by_sends_left() const;

    std::map<name, entry> m_entries;
};

} // namespace limpet::membership
