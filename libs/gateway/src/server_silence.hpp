/// \file
/// How long a backend server's VM may be silent.

#pragma once

#include <limpet/base/units.hpp>

namespace limpet::gateway
{

/// Time for which a server's VM may be silent before a connection ends. A sound
/// server may be silent for a second or so, taken as 1.5 s: over 2 s, so that
/// two probes of an idle read must fail, and more than the 1.9 s until Linux
/// sends lost data again after such a silence, counted from their first
/// retransmission, with 100 ms for a round trip. Connections of a router that
/// is cut off end within 3 s all the same: idle reads then, data in flight 2.5
/// to 3.0 s after they were sent.
constexpr duration server_silence_timeout = milliseconds(2300);

} // namespace limpet::gateway
