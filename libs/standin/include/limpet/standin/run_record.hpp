/// \file
/// Record of the requests that a fake backend server ran.

#pragma once

#include <limpet/base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpet::standin
{

/// How the run of a request ended.
enum class run_outcome
{
    running,   ///< The request is in progress.
    complete,  ///< The answer was sent completely.
    cut_off,   ///< Ended by a disconnect, a fault or a crash.
    cancelled, ///< Cancelled by a cancel request.
};

/// Returns the outcome's name as used in JSON.
std::string_view to_string(run_outcome outcome) noexcept;

/// One request that was run.
struct run_entry
{
    /// Position in the order of arrival among all recorded requests, from 1.
    std::uint64_t sequence = 0;
    request_id request;
    idempotency_key key;
    chat_id chat;
    std::string method;
    std::string target;
    std::uint64_t fencing = 0;
    std::uint64_t resume_after = 0;
    std::uint64_t events = 0;
    std::uint64_t cached_tokens = 0;
    run_outcome outcome = run_outcome::running;
};

/// Keeps the most recent requests and counts the runs of each request id and
/// idempotency key. Thread-safe.
class run_record
{
public:
    /// Adds a request and returns its sequence number.
    std::uint64_t begin(run_entry entry);

    /// Records how the request ended.
    void end(std::uint64_t sequence, run_outcome outcome, std::uint64_t events);

    /// Returns the most recent requests, oldest first.
    std::vector<run_entry> entries() const;

    /// Returns how many requests carried the key.
    std::uint64_t runs_of(const idempotency_key& key) const;

    /// Returns how many requests carried the id.
    std::uint64_t runs_of(const request_id& request) const;

    /// Returns the number of all recorded requests, including evicted ones.
    std::uint64_t total() const;

    /// Returns the record as JSON.
    std::string to_json() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_total = 0;
    std::deque<run_entry> m_entries;
    std::unordered_map<idempotency_key, std::uint64_t> m_by_key;
    std::unordered_map<request_id, std::uint64_t> m_by_request;
};

} // namespace limpet::standin
