/// \file
/// Simple placements that the routed one is compared with.

#pragma once

#include "fleet.hpp"

#include <limpet/base/random.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace limpet::bench
{

/// How a direct placement chooses.
enum class direct_kind
{
    random,
    least_loaded,
    /// First rendezvous choice, however loaded.
    rendezvous,
    /// Each router bounds the load by its own requests only.
    alone_bounded,
    /// Most cached tokens among the engines with room under the true bound,
    /// then the least loaded.
    greedy,
};

/// Places each turn at once on the true state of the fleet. What finds no room
/// waits in the order of arrival.
class direct_placement
{
public:
    direct_placement(direct_kind kind,
                     fleet& engines,
                     std::uint32_t routers,
                     std::uint64_t seed);

    void arrive(const turn& request);

    /// Takes note that an engine came or went.
    void engines_changed();

private:
    bool try_start(const turn& request);
    std::optional<std::uint32_t> choose(const turn& request,
                                        std::uint32_t router);
    std::optional<std::uint32_t> choose_greedy(const turn& request) const;
    std::optional<std::uint32_t> choose_least() const;
    std::optional<std::uint32_t> choose_alone(const turn& request,
                                              std::uint32_t router);
    void start_waiting();

    direct_kind m_kind;
    fleet& m_fleet;
    std::uint32_t m_routers;
    random_source m_random;
    std::deque<turn> m_waiting;
    std::vector<std::vector<std::uint32_t>> m_own;
    std::vector<std::uint32_t> m_own_total;
    std::vector<std::uint32_t> m_eligible;
};

} // namespace limpet::bench
