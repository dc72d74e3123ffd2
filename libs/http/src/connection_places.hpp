/// \file
/// Which connections give up their places when a server has no more.

#pragma once

#include <limpet/base/units.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace limpet::http
{

/// What a connection is occupied with.
enum class connection_phase : std::uint8_t
{
    waiting,   ///< For the first byte of a request.
    receiving, ///< A request.
    handling,  ///< A request, by the handler.
    writing,   ///< A part of an answer.
    closing,   ///< Bytes are taken so that the last answer is not destroyed.
};

/// State of a connection at one moment.
struct connection_activity
{
    connection_phase phase = connection_phase::waiting;
    time_point begun{};
    /// When the last bytes of the phase were transferred.
    time_point progressed{};
    /// Bytes transferred in the phase.
    std::size_t bytes = 0;
    /// Whether it was told to end for the sake of another one.
    bool is_yielding = false;
    /// Whether it was told to close at once.
    bool is_closed = false;
};

/// Keeps a connection's state for other threads. Fields that are read while
/// the connection changes them may be of two moments.
class activity_monitor
{
public:
    activity_monitor();

    /// Begins a phase. Whatever was to end the former one is void.
    void begin(connection_phase phase);
    void add_progress(std::size_t bytes);
    void set_yielding(bool is_yielding);
    void set_closed();
    connection_activity now() const;

private:
    std::atomic<connection_phase> m_phase = connection_phase::waiting;
    std::atomic<time_point> m_begun;
    std::atomic<time_point> m_progressed;
    std::atomic<std::size_t> m_bytes = 0;
    std::atomic<bool> m_is_yielding = false;
    std::atomic<bool> m_is_closed = false;
};

/// What has to happen for one more connection.
struct place_decision
{
    bool has_place = false;
    /// Index of the connection that has to give up its place.
    std::optional<std::size_t> yields;
    /// Index of an ending connection that may not take longer.
    std::optional<std::size_t> closes;
};

/// Decides whether a server with these connections takes one more. One yields
/// to it that waits for a request, that receives one more slowly than any
/// usable connection does, or whose answer is not read: the one that has been
/// so longest. New connections, whose requests are on their way, are thus the
/// last. Those that are ending hold no place, but at most a quarter as many as
/// there are places are left the time for it.
place_decision decide_place(const std::vector<connection_activity>& open,
                            std::size_t places,
                            time_point now);

} // namespace limpet::http
