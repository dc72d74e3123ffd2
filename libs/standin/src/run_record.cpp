#include <limpet/standin/run_record.hpp>

#include <boost/json.hpp>

namespace limpet::standin
{

namespace
{

/// Older requests are evicted to bound the memory used by long runs.
constexpr std::size_t max_entries = 20000;

boost::json::object to_object(const run_entry& entry)
{
    return {{"sequence", entry.sequence},
            {"request", entry.request.get()},
            {"key", entry.key.get()},
            {"chat", entry.chat.get()},
            {"method", entry.method},
            {"target", entry.target},
            {"fencing", entry.fencing},
            {"resume_after", entry.resume_after},
            {"events", entry.events},
            {"cached_tokens", entry.cached_tokens},
            {"outcome", to_string(entry.outcome)}};
}

template <class Id>
std::uint64_t count_of(const std::unordered_map<Id, std::uint64_t>& counts,
                       const Id& id)
{
    const auto found = counts.find(id);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

std::string_view to_string(run_outcome outcome) noexcept
{
    switch (outcome)
    {
    case run_outcome::running:
        return "running";
    case run_outcome::complete:
        return "complete";
    case run_outcome::cut_off:
        return "cut_off";
    case run_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::uint64_t run_record::begin(run_entry entry)
{
    const std::lock_guard lock(m_mutex);
    entry.sequence = ++m_total;
    if (!entry.key.get().empty())
    {
        ++m_by_key[entry.key];
    }
    if (!entry.request.get().empty())
    {
        ++m_by_request[entry.request];
    }
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > max_entries)
    {
        m_by_request.erase(m_entries.front().request);
        m_entries.pop_front();
    }
    return m_total;
}

void run_record::end(std::uint64_t sequence,
                     run_outcome outcome,
                     std::uint64_t events)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t evicted = m_total - m_entries.size();
    if (sequence > evicted)
    {
        run_entry& entry = m_entries[sequence - evicted - 1];
        entry.outcome = outcome;
        entry.events = events;
    }
}

std::vector<run_entry> run_record::entries() const
{
    const std::lock_guard lock(m_mutex);
    return {m_entries.begin(), m_entries.end()};
}

std::uint64_t run_record::runs_of(const idempotency_key& key) const
{
    const std::lock_guard lock(m_mutex);
    return count_of(m_by_key, key);
}

std::uint64_t run_record::runs_of(const request_id& request) const
{
    const std::lock_guard lock(m_mutex);
    return count_of(m_by_request, request);
}

std::uint64_t run_record::total() const
{
    const std::lock_guard lock(m_mutex);
    return m_total;
}

std::string run_record::to_json() const
{
    boost::json::array requests;
    for (const run_entry& entry : entries())
    {
        requests.emplace_back(to_object(entry));
    }
    const std::lock_guard lock(m_mutex);
    boost::json::object keys;
    for (const auto& [key, count] : m_by_key)
    {
        keys[key.get()] = count;
    }
    const boost::json::object record{{"total", m_total},
                                     {"requests", std::move(requests)},
                                     {"runs_by_key", std::move(keys)}};
    return boost::json::serialize(record);
}

} // namespace limpet::standin
