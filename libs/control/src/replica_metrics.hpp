/// \file
/// Metrics of a control replica.

#pragma once

#include <limpet/replica/replica.hpp>
#include <limpet/wire/traffic_counters.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace limpet::control
{

/// What is shown of a replica at one moment.
struct replica_figures
{
    replica::replica_view state;
    /// Index of the last order that changed anything, and the version of the
    /// document in force.
    std::uint64_t orders_index = 0;
    std::uint64_t document_version = 0;
    /// Routers that subscribed, and backend servers that are known.
    std::size_t routers = 0;
    std::size_t servers = 0;
    /// Frames and bytes to other processes; may be null.
    const wire::traffic_counters* sent = nullptr;
};

/// Returns the figures in Prometheus' text format.
std::string to_text(const replica_figures& figures);

} // namespace limpet::control
