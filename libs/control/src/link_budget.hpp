/// \file
/// Limits the bytes that a replica's feeds send.

#pragma once

#include <limpet/base/units.hpp>

#include <algorithm>
#include <cstddef>

namespace limpet::control
{

/// Bytes that documents and registrations may take of the replica's link, so
/// that elections and heartbeats of the control group do not wait behind them.
/// Each of the feeds has a limit of its own; together they would fill the link
/// when all routers start at once. Takes the time as an argument; not
/// thread-safe.
class link_budget
{
public:
    /// Returns whether more may be sent now.
    bool has_capacity(time_point now)
    {
        refill(now);
        return m_bytes > 0;
    }

    /// Records bytes that were sent. What must not wait may be sent without
    /// capacity and then takes that of later bytes.
    void charge(std::size_t bytes, time_point now)
    {
        refill(now);
        m_bytes -= static_cast<double>(bytes);
    }

    /// Three quarters of a link of 6 Mbit/s. The rest is for agreement,
    /// headers, answers to operators and servers, and the exchange of loads.
    static constexpr double bytes_per_second = 550'000;
    /// Sent at once after a pause; such a link transmits it in 43 ms.
    static constexpr double burst_bytes = 32.0 * 1024;

private:
    void refill(time_point now)
    {
        m_bytes = std::min(burst_bytes,
                           m_bytes + to_seconds(now - m_refilled_at) *
                                         bytes_per_second);
        m_refilled_at = now;
    }

    double m_bytes = burst_bytes;
    time_point m_refilled_at{};
};

} // namespace limpet::control
