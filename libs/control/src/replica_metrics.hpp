/// \file
/// Metrics of a control replica.

#pragma once

#include "content_meter.hpp"
#include "departure_recorder.hpp"
#include "work_meter.hpp"

#include <limpet/replica/replica.hpp>
#include <limpet/wire/traffic_counters.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace limpet::control
{

/// Values of a replica's metrics at one moment.
struct replica_metrics
{
    replica::replica_view state;
    /// Log index of the last order that changed the state, and the version of
    /// the document in force.
    std::uint64_t orders_index = 0;
    std::uint64_t document_version = 0;
    /// Number of subscribed routers and of known backend servers.
    std::size_t routers = 0;
    std::size_t servers = 0;
    /// Number of remembered departures of backend servers, and those reported
    /// to this replica.
    std::size_t departures = 0;
    departure_counts departed;
    /// Frames and bytes exchanged with other processes; may be null.
    const wire::traffic_counters* sent = nullptr;
    /// What the frames of the feeds held; may be null.
    const content_meter* sent_content = nullptr;
    /// Time spent on each kind of work, lateness of timer ticks, and times
    /// from a request to write to its completion; all may be null.
    const work_meter* work = nullptr;
    const histogram* late = nullptr;
    const histogram* persist = nullptr;
};

/// Returns the metrics in the Prometheus text format.
std::string to_prometheus_text(const replica_metrics& metrics);

} // namespace limpet::control
