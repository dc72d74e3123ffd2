/// \file
/// Carries out persist requests, again if writes fail.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/consensus/event.hpp>
#include <limpet/storage/log_store.hpp>

#include <deque>
#include <vector>

namespace limpet::consensus
{

/// Persist requests that are not durable yet, in their order. Not thread-safe.
class persist_queue
{
public:
    void add(std::vector<persist_request> requests);

    bool empty() const noexcept
    {
        return m_requests.empty();
    }

    /// Writes all requests to the store and makes them durable; the queue is
    /// then empty. Returns the number of the last one. After an error the
    /// requests stay in the queue: the next call repairs the store and
    /// continues where this one failed. The queue must not be empty.
    outcome<persist_number> write(storage::log_store& store);

private:
    static status write(storage::log_store& store, persist_request& request);

    std::deque<persist_request> m_requests;
    persist_number m_last;
};

} // namespace limpet::consensus
