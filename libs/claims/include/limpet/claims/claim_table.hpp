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

/// Limits of a claims group. Must be equal on all its replicas.
struct claim_limits
{
    /// Minimum time for which a key is remembered after its outcome was
    /// recorded. A claim that comes later is granted again.
    milliseconds retention = std::chrono::hours(24);
    /// Time for which the entire recorded answer is kept; after that only its
    /// status is. Must not exceed the retention.
    milliseconds body_retention = std::chrono::hours(1);
    /// Time after the claim at which a request without a recorded outcome is
    /// considered to have run with an unknown outcome. Must be longer than any
    /// deadline.
    milliseconds longest_run = std::chrono::hours(2);
    /// Time after the claim was sent within which the request must be
    /// dispatched. Must be much shorter than longest_run.
    milliseconds dispatch_window = seconds(30);
    /// Largest body that is recorded. Of answers with a larger body only the
    /// status and the media type are.
    byte_count max_body{4096};
    /// Memory that all claims may use together. New claims that would exceed it
    /// are refused.
    byte_count capacity{192U << 20};
};

/// Decides which request may run under an idempotency key. Deterministic: equal
/// sequences of commands give equal states and answers. A granted key is not
/// granted to another request before it was released or its retention has
/// passed, even if the table is full. Does no I/O and reads no clock. Not
/// thread-safe.
class claim_table
{
public:
    explicit claim_table(const claim_limits& limits);

    /// Applies the command at the given log index. A command whose index was
    /// applied before is refused without effect (conflict), and so is one whose
    /// request id is too long (invalid_argument). Otherwise the answers are:
    ///
    /// - claim: granted, also to a repeated claim of the same request;
    ///   in_progress; finished; or refused: another fingerprint
    ///   (invalid_argument), a request that was released (conflict), a full
    ///   table (overloaded).
    /// - settle: done; or refused if the request does not hold the key
    ///   (not_found) or was released (conflict).
    /// - release: done; or refused if the request does not hold the key
    ///   (not_found) or has an outcome (conflict).
    claim_answer apply(std::uint64_t index, const claim_command& command);

    /// Returns the log index of the last applied command.
    std::uint64_t applied_index() const noexcept
    {
        return m_applied_index;
    }

    /// Returns the number of remembered keys.
    std::size_t size() const noexcept
    {
        return m_entries.size() + m_archive.size();
    }

    /// Returns the memory that the keys use, including container overhead.
    byte_count used() const noexcept
    {
        return byte_count(m_used + m_archive.bytes());
    }

    /// Returns the encoded state.
    std::string snapshot() const;

    /// Returns a table with the state of the snapshot. Fails with malformed.
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

    /// State of one key. The text fields share one buffer to save memory.
    struct entry
    {
        std::uint64_t fingerprint = 0;
        /// Time at which the entry expires: an entry in progress becomes
        /// unknown, a released one is erased, any other is archived.
        std::uint64_t due_ms = 0;
        /// Serial number of the entry's current queue item.
        std::uint64_t serial = 0;
        /// The request id, the media type and the body, concatenated.
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

    /// Item of an expiry queue. It is obsolete if the key's entry has another
    /// serial number.
    struct queue_item
    {
        claim_key key;
        std::uint64_t serial = 0;
    };

    claim_answer
    handle(const claim_command& command, entry* known, const claim& action);
    claim_answer
    handle(const claim_command& command, entry* known, const settle& action);
    claim_answer
    handle(const claim_command& command, entry* known, const release& action);
    claim_answer handle_archived(const claim_command& command,
                                 const archived_outcome& known) const;
    claim_answer grant(const claim_command& command, std::uint64_t fingerprint);
    void advance_clock(std::uint64_t at_ms);
    void expire_queue(std::deque<queue_item>& queue);
    const entry* live_entry(const queue_item& item) const;
    void expire_entry(const claim_key& key);
    void
    enqueue(const claim_key& key, entry& value, std::deque<queue_item>& queue);
    void schedule(const claim_key& key, entry& value);
    void archive(const claim_key& key, const entry& value);
    void erase(const claim_key& key);
    void write_queue(std::string& out,
                     const std::deque<queue_item>& queue) const;
    status load_entry(std::string_view bytes);
    status load_slice(std::string_view bytes);
    static std::uint64_t cost_of(const entry& value);

    claim_limits m_limits;
    std::uint64_t m_applied_index = 0;
    std::uint64_t m_clock_ms = 0;
    std::uint64_t m_used = 0;
    std::uint64_t m_last_serial = 0;
    std::unordered_map<claim_key, entry> m_entries;
    outcome_archive m_archive;
    // Each queue has a fixed period, so its items are ordered by due time.
    std::deque<queue_item> m_running;
    std::deque<queue_item> m_retained;
};

} // namespace limpet::claims
