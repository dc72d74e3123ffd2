/// \file
/// Tells refused callers when to return.

#pragma once

#include <limpet/base/units.hpp>

namespace limpet::admission
{

/// Gives each refused caller the time at which the servers can take its request
/// after those of the callers that were refused before it. Takes the time as an
/// argument; not thread-safe.
class return_schedule
{
public:
    /// Longest time that is given. Limits may change sooner than this.
    static constexpr duration max_delay = seconds(10);

    /// Returns after which time the next caller is to return. `rate` is the
    /// number of requests a second that can be served; `earliest` the time
    /// until the next one of them.
    duration next(double rate, duration earliest, time_point now);

private:
    time_point m_last{};
};

} // namespace limpet::admission
