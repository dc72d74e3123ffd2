/// \file
/// When the system ends a connection whose peer's machine is silent.

#pragma once

#include <limpet/base/units.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace limpet::http
{

/// Socket options that end a connection to a silent machine. A machine that is
/// switched off, suspended or cut off is silent; a process that is merely slow
/// or stopped is not.
struct silence_options
{
    /// TCP_USER_TIMEOUT; 0 if it is not set.
    milliseconds user_timeout{};
    /// TCP_KEEPIDLE: time without a segment from the peer until the first
    /// probe.
    seconds probe_idle{1};
    /// TCP_KEEPINTVL: time between probes without an answer.
    seconds probe_interval{1};
    /// TCP_KEEPCNT: probes without an answer until the connection ends, where
    /// the user timeout is not set; 0 if there are no probes (SO_KEEPALIVE).
    int probes = 1;
};

/// The shortest time between probes, and before the first, that Linux knows.
constexpr seconds shortest_probe_time{1};
/// The highest TCP_KEEPCNT that Linux takes.
constexpr int most_probes = 127;

/// Returns the options for the timeout. They end a connection with data in
/// flight as end_of_unacknowledged() says and one that is only read as
/// end_of_idle_read() says: not before the timeout and at most 1 s after it,
/// as probes come in whole seconds. Timeouts of 1 s or less end idle reads
/// after 2 s, since one probe must remain unanswered. The count of probes
/// alone would end idle reads at the same time.
constexpr silence_options options_for_silence(duration timeout)
{
    const auto probes =
        std::chrono::ceil<seconds>(timeout) / shortest_probe_time - 1;
    return {std::chrono::ceil<milliseconds>(timeout),
            shortest_probe_time,
            shortest_probe_time,
            static_cast<int>(std::clamp<std::int64_t>(probes, 1, most_probes))};
}

/// Returns the time after the last segment from the peer at which Linux ends a
/// connection without data in flight; the longest there is if it never does.
constexpr duration end_of_idle_read(const silence_options& options)
{
    if (options.probes == 0)
    {
        return duration::max();
    }
    if (options.user_timeout == milliseconds::zero())
    {
        return options.probe_idle + options.probe_interval * options.probes;
    }
    // Linux: when a probe is due, one before it has no answer and
    // TCP_USER_TIMEOUT has passed, the connection ends, whatever the count.
    duration end = options.probe_idle + options.probe_interval;
    while (end < options.user_timeout)
    {
        end += options.probe_interval;
    }
    return end;
}

/// Returns the time after the first send of data at which Linux ends a
/// connection with these data in flight: TCP_USER_TIMEOUT counts from the
/// first retransmission, which comes 0.2 to 0.5 s after the data on short ways.
constexpr duration end_of_unacknowledged(const silence_options& options,
                                         duration first_retransmission)
{
    return first_retransmission + options.user_timeout;
}

/// Sets the options; those that the system refuses keep their values.
void set_silence_options(boost::asio::ip::tcp::socket& socket,
                         const silence_options& options);

/// Returns the socket's options.
silence_options silence_options_of(boost::asio::ip::tcp::socket& socket);

/// Lets the connection end once the peer's machine has been silent for the
/// timeout, as options_for_silence() says.
void end_when_silent(boost::asio::ip::tcp::socket& socket, duration timeout);

} // namespace limpet::http
