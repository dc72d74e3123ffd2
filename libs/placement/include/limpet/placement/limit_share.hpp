/// \file
/// Divides a limit that a server names among the routers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>
#include <set>

namespace limpet::placement
{

/// Lowest rate of requests at a server, of all routers together: only its
/// answers tell that a lower limit has ended.
constexpr double min_limited_rate = 0.1;

/// Returns how many of the routers may send to a server that takes `rate`
/// requests a second: so few that each has a request a second.
std::uint32_t limit_sender_count(double rate, std::uint32_t routers) noexcept;

/// Returns how many requests a second of the server's limit are this router's;
/// 0 if others send to it. All routers that know the same routers, limit and
/// turn reach the same division. Another turn selects other routers.
double limit_share(double rate,
                   std::uint64_t server,
                   std::uint32_t turn,
                   const vm_id& self,
                   const std::set<vm_id>& routers);

/// Returns the time without an answer of the server after which the next turn
/// begins: long enough for a request of each router, its answer and the
/// exchange of it.
duration limit_turn_length(double rate) noexcept;

} // namespace limpet::placement
