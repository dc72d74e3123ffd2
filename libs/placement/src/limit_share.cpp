#include <limpet/base/hash.hpp>
#include <limpet/placement/limit_share.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::placement
{

namespace
{

/// Lowest rate of a router that shares a server's limit with others. With a
/// lower one, routers without requests for the server would leave much of it
/// unused.
constexpr double min_sender_rate = 1;
/// Shortest turn: three times the period of confirmations.
constexpr duration min_turn_length = seconds(15);
/// Requests of a router for which a turn lasts at least.
constexpr double requests_per_turn = 4;

std::uint64_t
rank(std::uint64_t server, std::uint32_t turn, const vm_id& router)
{
    return combine_hashes(combine_hashes(server, turn),
                          stable_hash(router.get()));
}

} // namespace

std::uint32_t limit_sender_count(double rate, std::uint32_t routers) noexcept
{
    const double wanted = std::floor(rate / min_sender_rate);
    return static_cast<std::uint32_t>(
        std::clamp(wanted, 1.0, std::max(1.0, static_cast<double>(routers))));
}

double limit_share(double rate,
                   std::uint64_t server,
                   std::uint32_t turn,
                   const vm_id& self,
                   const std::set<vm_id>& routers)
{
    if (!routers.contains(self))
    {
        return 0;
    }
    const std::uint64_t own = rank(server, turn, self);
    const auto before = std::count_if(routers.begin(),
                                      routers.end(),
                                      [&](const vm_id& each)
                                      {
                                          return rank(server, turn, each) < own;
                                      });
    const std::uint32_t senders =
        limit_sender_count(rate, static_cast<std::uint32_t>(routers.size()));
    return before < static_cast<std::int64_t>(senders)
               ? std::max(rate, min_limited_rate) / senders
               : 0;
}

duration limit_turn_length(double rate) noexcept
{
    const double slowest = std::clamp(rate, min_limited_rate, min_sender_rate);
    return std::max(duration(min_turn_length),
                    from_seconds(requests_per_turn / slowest));
}

} // namespace limpet::placement
