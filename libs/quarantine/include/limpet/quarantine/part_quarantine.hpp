/// \file
/// Refuses requests whose prompts hold a part that crashes servers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/quarantine/crash_evidence.hpp>
#include <limpet/quarantine/message.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace limpet::quarantine
{

/// Times of the quarantine.
struct quarantine_settings
{
    evidence_settings evidence;
    /// Time until the first trial, and the factor by which each failed trial
    /// lengthens it up to the maximum.
    duration first_term = seconds(30);
    int term_factor = 4;
    duration max_term = seconds(3600);
    /// After its term, a part may be tried at one router at a time; which one
    /// changes in this interval. A trial may begin in the first half of it.
    duration trial_turn = seconds(2);
    /// Entries are removed this long after their term or their release.
    duration retention = seconds(600);
    /// Interval of the comparison of entries with another router.
    duration comparison_interval = milliseconds(500);
    /// So many routers report at once that a part is sound, four times as many
    /// after this interval and so on, unless another one did meanwhile.
    std::size_t first_reporters = 16;
    duration report_interval = milliseconds(100);
};

/// Whether a request may be sent to a server.
struct admission
{
    bool is_admitted = true;
    /// If not admitted: the part, and the time until it may be tried.
    part_key part;
    duration retry_after{};
};

/// A change of the quarantine, for logs.
struct quarantine_change
{
    quarantine_entry entry;
    /// Whether this router concluded it, or another one told it.
    bool is_own = false;
};

/// Shares reports of crashes with all other routers. All reach the same
/// conclusion from them, and compare their conclusions in turns, so that a
/// router that was restarted or cut off learns them. Does no I/O and takes the
/// time as an argument; not thread-safe.
class part_quarantine
{
public:
    /// Messages to one router or to several.
    struct outgoing
    {
        std::vector<vm_id> to;
        message content;
    };

    /// Entries beyond this number are not made.
    static constexpr std::size_t max_entries = 256;

    explicit part_quarantine(vm_id self, quarantine_settings settings = {});

    /// Returns whether a request with these parts may be sent to a server now.
    admission check(const std::vector<part_key>& parts, time_point now) const;

    /// The same for a request that is sent at once if admitted. It then counts
    /// as the trial of those of its parts whose term has ended.
    admission admit(const std::vector<part_key>& parts, time_point now);

    /// Records that a server closed the connection of a request before it
    /// began to answer.
    void on_cut_off(const cut_off_request& request, time_point now);

    /// Records that a server answered a request with the parts and lived on.
    void on_sound(const std::vector<part_key>& parts, time_point now);

    /// Returns whether an answer of the server would show that it lives.
    bool is_suspected(server_key server) const
    {
        return m_evidence.has_reports_of(server);
    }

    /// Records that a server answered in any way.
    void on_answer(server_key server, time_point now);

    /// Sets the other routers.
    void set_routers(std::set<vm_id> routers);

    /// Handles the loss of the link to a router, which may have restarted.
    void on_lost(const vm_id& router);

    void receive(const vm_id& from, const message& received, time_point now);

    /// Draws conclusions that are due and returns the messages to send.
    std::vector<outgoing> update(time_point now);

    /// Returns after which time update() must be called, unless another
    /// function is called before; nothing if there is nothing to do.
    std::optional<duration> next_update(time_point now) const;

    /// Returns the changes since the last call.
    std::vector<quarantine_change> take_changes();

    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct entry
    {
        std::uint32_t revision = 0;
        std::uint32_t failed_trials = 0;
        time_point ends_at;
        bool is_released = false;
        /// Until then a trial of this router may be in progress.
        time_point trial_until{};
    };

    bool is_quarantined(part_key part) const;
    bool is_turn_of_this_router(part_key part,
                                const entry& each,
                                time_point now) const;
    bool may_try(part_key part, const entry& each, time_point now) const;
    duration term(std::uint32_t failed_trials) const;
    void quarantine(part_key part, std::uint32_t failed_trials, time_point now);
    void release(part_key part, time_point now);
    void merge(const quarantine_entry& received, time_point now);
    quarantine_entry
    to_message(part_key part, const entry& each, time_point now) const;
    std::vector<quarantine_entry> all_entries(time_point now) const;
    void record_change(part_key part, bool is_own, time_point now);
    void conclude(time_point now);
    void report_sound_parts(time_point now);
    duration report_delay(part_key part) const;
    std::uint64_t digest() const;
    void remove_expired(time_point now);
    void add_comparisons(std::vector<outgoing>& messages, time_point now);

    vm_id m_self;
    quarantine_settings m_settings;
    crash_evidence m_evidence;
    std::map<part_key, entry> m_entries;
    std::set<vm_id> m_routers;
    /// Routers that may lack entries, as the link to them was lost.
    std::set<vm_id> m_routers_to_compare;
    std::vector<std::pair<vm_id, message>> m_answers;
    /// What all other routers are to be told.
    message m_broadcast;
    /// Sound parts that are to be reported, with the time from which.
    std::map<part_key, time_point> m_sound_due_at;
    std::vector<quarantine_change> m_changes;
    time_point m_next_comparison{};
    /// The router that entries were last compared with.
    vm_id m_last_compared;
};

} // namespace limpet::quarantine
