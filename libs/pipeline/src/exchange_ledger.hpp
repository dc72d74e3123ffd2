/// \file
/// What an owner remembers of exchanges that were opened or refused.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace limpet::pipeline
{

/// Remembers for each exchange whether it was opened or refused, whichever
/// came first, for longer than a message can be on its way. Not thread-safe.
class exchange_ledger
{
public:
    explicit exchange_ledger(duration keep);

    /// Records that the exchange is opened. Returns false if it was opened or
    /// refused before; it must then not be run.
    bool begin(const request_id& exchange, time_point now);

    /// Returns whether the exchange was opened. If not, it is refused from
    /// now on.
    bool query(const request_id& exchange, time_point now);

    /// Returns the number of exchanges remembered.
    std::size_t size() const noexcept
    {
        return m_opened.size();
    }

private:
    bool remember(const request_id& exchange, bool opened, time_point now);

    duration m_keep;
    std::unordered_map<request_id, bool> m_opened;
    std::deque<std::pair<time_point, request_id>> m_order;
};

} // namespace limpet::pipeline
