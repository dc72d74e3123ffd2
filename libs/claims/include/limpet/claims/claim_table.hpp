/// \file
/// Replicated state machine of one claims group.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>
#include <limpet/claims/claim_command.hpp>
#include <limpet/claims/outcome_archive.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace limpet::claims
{

/// Bounds of a claims group; equal on all its replicas.
struct claim_limits
{
    /// Time for which a key is remembered at least after its outcome was
    /// recorded. A key that comes back later runs again.
    milliseconds retention = std::chrono::hours(24);
    /// Time for which the recorded answer is given again in full; after it
    /// only the status is left. At most the retention.
    milliseconds body_retention = std::chrono::hours(1);
    /// Time after the claim at which a request without a recorded outcome
    /// counts as run with an unknown outcome. Longer than any deadline.
    milliseconds longest_run = std::chrono::hours(2);
    /// Time after sending the claim within which the request must have been
    /// dispatched. Much shorter than longest_run.
    milliseconds dispatch_window = seconds(30);
    /// Largest body that is recorded; of larger ones only the status is.
    byte_count max_body{4096};
    /// Bytes that claims may take in all. New claims are refused beyond.
    byte_count capacity{192U << 20};
};

/// Decides which request runs under an idempotency key. Equal sequences of
/// commands give equal states and answers. A key that was granted is not
/// granted to another request before it was released or its retention has
/// passed, also if the table is full. Pure; not thread-safe.
class claim_table
{
public:
    explicit claim_table(const claim_limits& limits);

    /// Applies the command of the log's index. An index that was applied
    /// before changes nothing.
    ///
    /// - claim: granted, also when the same request asks again; in_progress;
    ///   finished; or refused: another fingerprint (invalid_argument), a
    ///   released request that asks again (conflict), a full table
    ///   (overloaded).
    /// - settle: done, or refused if the request does not hold the key.
    /// - release: done, or refused if the request does not hold the key or
    ///   has an outcome.
    claim_answer apply(std::uint64_t index, const claim_command& command);

    /// Returns the index of the last command applied.
    std::uint64_t applied_index() const noexcept
    {
        return m_applied_index;
    }

    /// Returns the number of keys remembered.
    std::size_t size() const noexcept
    {
        return m_entries.size() + m_archive.size();
    }

    /// Returns the bytes that the keys take, with the containers' overhead.
    byte_count used() const noexcept
    {
        return byte_count(m_used + m_archive.bytes());
    }

    /// Returns the whole state.
    std::string snapshot() const;

    /// Returns a table in the state of the snapshot.
    static outcome<claim_table> restore(std::string_view snapshot,
                                        const claim_limits& limits);

private:
    enum class state : std::uint8_t
    {
        in_progress,
        complete,
        unknown,
        released,
    };

    /// Text fields share one buffer to keep an entry small.
    struct entry
    {
        std::uint64_t fingerprint = 0;
        /// When the entry becomes unknown, if in progress, or is archived.
        std::uint64_t due_ms = 0;
        /// Number of its valid item in a queue.
        std::uint64_t serial = 0;
        /// The request's id, the media type and the body.
        std::string texts;
        std::uint16_t request_bytes = 0;
        std::uint16_t media_bytes = 0;
        std::uint16_t status = 0;
        state phase = state::in_progress;
        bool body_kept = false;

        std::string_view request() const noexcept;
        settle result() const;
        void set_texts(std::string_view request, const settle& result);
    };

    /// Item of a queue. It is void if the entry has another serial number.
    struct due
    {
        claim_key key;
        std::uint64_t serial = 0;
    };

    claim_answer
    on(const claim_command& command, entry* known, const claim& action);
    claim_answer
    on(const claim_command& command, entry* known, const settle& action);
    claim_answer
    on(const claim_command& command, entry* known, const release& action);
    claim_answer on_archived(const claim_command& command,
                             const archived_outcome& known) const;
    claim_answer grant(const claim_command& command, std::uint64_t fingerprint);
    void advance_clock(std::uint64_t at_ms);
    void expire(std::deque<due>& queue);
    const entry* entry_of(const due& item) const;
    void pass_due(const claim_key& key);
    void enqueue(const claim_key& key, entry& of, std::deque<due>& queue);
    void schedule(const claim_key& key, entry& of);
    void archive(const claim_key& key, const entry& of);
    void erase(const claim_key& key);
    void write_queue(std::string& out, const std::deque<due>& queue) const;
    status load(std::string_view bytes);
    status load_slice(std::string_view bytes);
    static std::uint64_t cost_of(const entry& value);

    claim_limits m_limits;
    std::uint64_t m_applied_index = 0;
    std::uint64_t m_clock_ms = 0;
    std::uint64_t m_used = 0;
    std::uint64_t m_last_serial = 0;
    std::unordered_map<claim_key, entry> m_entries;
    outcome_archive m_archive;
    // Each queue has one period, so it is in the order of the due times.
    std::deque<due> m_running;
    std::deque<due> m_retained;
};

} // namespace limpet::claims
