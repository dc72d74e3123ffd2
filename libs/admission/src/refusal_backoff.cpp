#include <limpet/admission/refusal_backoff.hpp>

#include <algorithm>

namespace limpet::admission
{

namespace
{

/// Refusals in a row from which a server is closed.
constexpr std::uint32_t closing_refusals = 2;
/// Others are told of a time that lasts as long as a report, of this many
/// refusals in a row, or of two within this time: a server that is merely full
/// accepts a request in between.
constexpr std::uint32_t reported_refusals = 4;
constexpr duration reported_interval = milliseconds(500);
/// Time for which a server is closed at first, doubled with each further
/// refusal up to the maximum. A server that is merely full has room again when
/// one of its requests ends.
constexpr duration initial_backoff = milliseconds(50);
constexpr duration max_backoff = seconds(2);
/// Time after which a trial without an answer no longer delays the next. About
/// the time in which a busy server begins to answer.
constexpr duration trial_timeout = milliseconds(500);
/// Time after another process's report in which this one does not try the
/// server, and the time over which the trials of all processes are spread.
/// The one that was refused tries again first; the others only if it does not.
constexpr duration report_validity = seconds(2);
constexpr duration report_spread = seconds(4);

} // namespace

bool refusal_backoff::is_on_trial() const noexcept
{
    return m_refusals_in_a_row >= closing_refusals;
}

bool refusal_backoff::on_refused(std::optional<duration> requested,
                                 time_point now)
{
    ++m_refusals_in_a_row;
    const bool is_repeated =
        is_on_trial() && now < m_refused_at + reported_interval;
    m_refused_at = now;
    m_trial_sent_at.reset();
    if (requested)
    {
        m_refusals_in_a_row = std::max(m_refusals_in_a_row, closing_refusals);
        m_asked_until =
            std::max(m_asked_until, now + std::min(*requested, max_requested));
    }
    else if (is_on_trial())
    {
        const unsigned doublings =
            std::min(m_refusals_in_a_row - closing_refusals, 8U);
        m_presumed_until = std::max(
            m_presumed_until,
            now + std::min(initial_backoff * (1U << doublings), max_backoff));
    }
    return (requested && *requested >= report_validity) || is_repeated ||
           m_refusals_in_a_row >= reported_refusals;
}

bool refusal_backoff::on_accepted() noexcept
{
    const bool was_on_trial = is_on_trial();
    on_reported_open();
    return was_on_trial;
}

void refusal_backoff::on_reported_closed(time_point at, double position)
{
    m_refusals_in_a_row = std::max(m_refusals_in_a_row, closing_refusals);
    m_presumed_until =
        std::max(m_presumed_until,
                 at + report_validity +
                     from_seconds(position * to_seconds(report_spread)));
}

void refusal_backoff::on_reported_open() noexcept
{
    m_refusals_in_a_row = 0;
    m_presumed_until = {};
    m_trial_sent_at.reset();
}

void refusal_backoff::allow_trial() noexcept
{
    m_presumed_until = {};
}

void refusal_backoff::on_sent(time_point now) noexcept
{
    if (is_on_trial())
    {
        m_trial_sent_at = now;
    }
}

void refusal_backoff::on_abandoned() noexcept
{
    m_trial_sent_at.reset();
}

bool refusal_backoff::may_send(time_point now) const noexcept
{
    return now >= closed_until() &&
           (!m_trial_sent_at || now >= *m_trial_sent_at + trial_timeout);
}

time_point refusal_backoff::closed_until() const noexcept
{
    return std::max(m_asked_until, m_presumed_until);
}

} // namespace limpet::admission
