/// \file
/// Keeps requests from a server that turns them away.

#pragma once

#include <limpet/base/units.hpp>

#include <cstdint>
#include <optional>

namespace limpet::admission
{

/// Decides when a server that refuses requests is sent the next one. A server
/// that refuses at once is always idle, so that its load would attract every
/// request. It is closed for as long as it asks for, or for a time that grows
/// with its refusals in a row, and then sent one request at a time until it
/// accepts one. A single refusal may be chance and closes nothing. Other
/// processes that send to the server report what they find. Takes the time as
/// an argument; not thread-safe.
class refusal_backoff
{
public:
    /// Longest time for which a server is closed because it asks for it.
    static constexpr duration max_requested = seconds(86400);

    /// Records a refusal, and the time for which the server asks to be sent
    /// nothing. Returns whether others are to be told that it is closed.
    bool on_refused(std::optional<duration> requested, time_point now);

    /// Records that the server began to answer a request. Returns whether it
    /// was closed before.
    bool on_accepted() noexcept;

    /// Records that another process found the server closed at a time.
    /// `position` is this process's among those that send to the server, from 0
    /// to 1: they try again one after the other.
    void on_reported_closed(time_point at, double position);

    /// Records that the server accepted a request of another process.
    void on_reported_open() noexcept;

    /// Lets the next request be a trial at once, as the reason for the refusals
    /// may have ended. What the server asked for stays.
    void allow_trial() noexcept;

    /// Records that a request is sent to the server.
    void on_sent(time_point now) noexcept;

    /// Records that a request ended without telling whether the server accepts
    /// any.
    void on_abandoned() noexcept;

    /// Returns whether a request may be sent.
    bool may_send(time_point now) const noexcept;

    /// Returns until when the server is closed; in the past if it is not.
    time_point closed_until() const noexcept;

private:
    bool is_on_trial() const noexcept;

    std::uint32_t m_refusals_in_a_row = 0;
    time_point m_refused_at{};
    /// Because the server asked for it, and because of refusals.
    time_point m_asked_until{};
    time_point m_presumed_until{};
    /// When the request was sent whose answer decides whether more follow.
    std::optional<time_point> m_trial_sent_at;
};

} // namespace limpet::admission
