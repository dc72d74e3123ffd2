/// \file
/// Finds the prompt parts under which servers crash.

#pragma once

#include <limpet/quarantine/message.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace limpet::quarantine
{

/// Thresholds for holding a part responsible for crashes.
struct evidence_settings
{
    /// Crashes, at different moments, under requests with a part of which none
    /// was answered meanwhile.
    std::size_t crashes = 3;
    /// The same if several parts are equally involved, of which one only may
    /// cause the crashes. These parts are all held responsible.
    std::size_t ambiguous_crashes = 5;
    /// Crashes closer together than this count once: a data centre that loses
    /// power ends many servers.
    duration moment = milliseconds(100);
    /// The same for whole requests. Few servers run the same request at the
    /// same time, but a request that is repeated at once may end several
    /// servers within 100 ms.
    duration request_moment = milliseconds(20);
    /// Time for other routers to report that a part is sound or a server lives.
    /// Longer than a message and the bytes that a server sent before its crash
    /// take.
    duration confirmation = milliseconds(750);
    /// Time after a report from which an answer shows that its server lives.
    duration stale_answers = milliseconds(250);
    /// Time for which reports are kept.
    duration retention = seconds(60);
};

/// Requests whose connection was closed before they were known to be sound, as
/// this and other routers reported them. A part is held responsible if servers
/// crashed repeatedly under requests with it and no request with it was
/// answered in between; most parts of such requests are shared with sound ones,
/// whose answers clear them. The part that is involved most is taken, and the
/// crashes that it explains no longer count against others. A request that is
/// sent again and again has a key of its own, which goes before the parts of
/// its prompt: it blames nothing but this request. Takes the time as an
/// argument; not thread-safe.
class crash_evidence
{
public:
    /// Reports beyond this number replace the oldest quarter of them.
    static constexpr std::size_t max_reports = 512;
    /// Parts beyond this number of a prompt are not examined.
    static constexpr std::size_t max_parts_of_report = 32;

    /// Time beyond the confirmation in which a conclusion is drawn, although
    /// calls are late.
    static constexpr duration conclusion_margin = seconds(1);

    explicit crash_evidence(evidence_settings settings = {});

    /// Returns whether reports may lead to a conclusion that was not drawn yet.
    bool is_pending(time_point now) const noexcept
    {
        return now <=
               m_last_report_at + m_settings.confirmation + conclusion_margin;
    }

    void add(const cut_off_request& request, time_point now);

    /// Records that a server answered a request with the part and lived on.
    void record_sound(part_key part, time_point answered_at);

    /// Returns the parts of which this router alone may know that they are
    /// sound, and that others may suspect: of those that occur in crashes of
    /// two servers or more.
    std::vector<sound_part> unshared_sound_parts(time_point now) const;

    /// Records that another router reported the part as sound.
    void record_shared_sound(part_key part, time_point answered_at);

    /// Returns the numbers of reports and of the parts that occur in them.
    std::size_t report_count() const noexcept
    {
        return m_reports.size();
    }
    std::size_t part_count() const noexcept
    {
        return m_parts.size();
    }

    /// Returns whether requests at this server were reported as cut off.
    bool has_reports_of(server_key server) const
    {
        return m_servers.contains(server);
    }

    /// Records an answer of a server. Returns true if reports show the server
    /// as crashed and it lives; its reports are then discarded.
    bool record_answer(server_key server, time_point now);

    /// Discards the reports of a server that lives.
    void discard(server_key server);

    using part_predicate = std::function<bool(part_key)>;

    /// Returns the parts that are to be held responsible now. Crashes under
    /// requests with a part for which is_known holds are explained by it.
    std::vector<part_key> find_responsible(const part_predicate& is_known,
                                           time_point now);

private:
    struct report
    {
        cut_off_request request;
        time_point at;
    };

    /// The first reports of servers.
    using crash_times = std::map<server_key, time_point>;
    using crashes_by_part = std::map<part_key, crash_times>;

    /// What is known of a part that occurs in a report.
    struct part_record
    {
        /// When servers answered requests with the part: as this router
        /// saw it, and as routers told each other.
        std::optional<time_point> sound_at;
        std::optional<time_point> shared_sound_at;
    };

    void discard_old(time_point now);
    void discard_oldest_quarter();
    void discard_unused();
    std::set<server_key>
    explained_servers(const part_predicate& is_known) const;
    /// Returns the crashes under requests with each part that nothing known
    /// explains and no answer clears. A crash has the time of the first report
    /// of its server, as requests may fail in the same way after it.
    crashes_by_part find_unexplained(const part_predicate& is_known,
                                     time_point now) const;
    std::size_t count_moments(part_key part, const crash_times& crashes) const;
    /// Returns the request that was sent again and again and is involved in
    /// more crashes than anything but the parts of its own prompt.
    std::optional<part_key>
    find_responsible_request(const crashes_by_part& unexplained) const;
    std::vector<part_key>
    find_responsible_parts(const crashes_by_part& unexplained) const;
    /// Returns what requests with the key have besides.
    std::set<part_key> find_companions(part_key request) const;
    bool is_cleared(part_key part, time_point crashed_at) const;

    evidence_settings m_settings;
    time_point m_last_report_at{};
    std::deque<report> m_reports;
    std::unordered_map<part_key, part_record> m_parts;
    /// Servers in the reports, with the time of their first report.
    std::unordered_map<server_key, time_point> m_servers;
};

} // namespace limpet::quarantine
