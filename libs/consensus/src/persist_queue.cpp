#include <limpet/consensus/persist_queue.hpp>

namespace limpet::consensus
{

void persist_queue::add(std::vector<persist_request> requests)
{
    for (persist_request& each : requests)
    {
        m_last = each.number;
        m_requests.push_back(std::move(each));
    }
}

outcome<persist_number> persist_queue::write(storage::log_store& store)
{
    if (auto repaired = store.repair(); !is_ok(repaired))
    {
        return error_of(repaired);
    }
    for (persist_request& each : m_requests)
    {
        if (auto written = write(store, each); !is_ok(written))
        {
            return error_of(written);
        }
    }
    if (auto synced = store.sync(); !is_ok(synced))
    {
        return error_of(synced);
    }
    m_requests.clear();
    return m_last;
}

/// Removes from the request what the store has taken, so that a further call
/// does not hand it over again.
status persist_queue::write(storage::log_store& store, persist_request& request)
{
    if (request.hard)
    {
        store.set_hard_state(*request.hard);
        request.hard.reset();
    }
    if (!request.entries.empty())
    {
        store.append(request.entries);
        request.entries.clear();
    }
    if (!request.snapshot)
    {
        return success();
    }
    auto saved = store.save_snapshot(*request.snapshot);
    if (is_ok(saved))
    {
        request.snapshot.reset();
    }
    return saved;
}

} // namespace limpet::consensus
