/// \file
/// Upper bound of an engine's load relative to the mean load of its model.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/strong_type.hpp>
#include <limpet/base/units.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace limpet::placement
{

/// Index of a fixed-length interval of the VMs' wall clock. All routers sample
/// their load at the start of each epoch, so that the sum of the samples is a
/// load that the fleet had at one time.
using load_epoch = strong_type<struct load_epoch_tag, std::uint64_t>;

/// Length of an epoch and interval between load digests.
inline constexpr duration load_epoch_length = milliseconds(250);

/// Maximum clock skew between VMs. A digest carries the minimum load within
/// this time of the epoch's start.
inline constexpr duration load_clock_skew = milliseconds(25);

/// Returns the epoch that contains a time of the VMs' wall clock.
load_epoch epoch_of(duration since_clock_start);

/// Parameters of the load bound.
struct load_bound_settings
{
    /// Maximum load of an engine as a multiple of the mean.
    double multiple = 1.25;
    /// Number of epochs, including the current one, whose highest mean is used.
    /// With three epochs, all of them began within the last second.
    std::uint64_t epochs = 3;
    /// Time constant of the exponential decay that is assumed for the load of a
    /// source without recent digests: its requests finish and no new ones are
    /// counted.
    duration decay_time = seconds(6);
};

/// Load of a router's engines of one model at the start of an epoch.
struct load_digest
{
    load_epoch epoch;
    /// Number of the router's engines in service.
    std::uint32_t engines = 0;
    /// Minimum number of requests in flight on these engines within
    /// load_clock_skew of the epoch's start.
    std::uint64_t in_flight = 0;
};

/// Load bound for the engines of one model, kept by each router that owns some
/// of them. As long as digests arrive on time, the bound does not exceed the
/// configured multiple of the highest actual mean of the last second. Not
/// thread-safe.
class load_bound
{
public:
    explicit load_bound(load_bound_settings settings);

    /// Sets the number of in-service engines in this router's list. Engine
    /// lists can differ between routers for seconds, while digests come from
    /// the engines' owners, so the mean uses the larger of this count and the
    /// count in the digests.
    void set_engines(std::size_t count);

    /// Processes a digest of a source. A source is a router, or a data centre
    /// that sends the sum over its routers.
    void report(const vm_id& source, const load_digest& digest);

    /// Removes a source that has left the fleet.
    void remove_source(const vm_id& source);

    /// Sets the current number of requests in flight on this router's engines
    /// of the model. Their share is a lower bound of the actual mean, so a
    /// burst after an idle period need not wait for the next digests.
    void set_own_in_flight(std::uint64_t in_flight) noexcept;

    /// Sets the current epoch and recomputes the mean. Must be called at least
    /// once per epoch, after the other setters.
    void advance(load_epoch current);

    /// Returns a lower bound of the highest actual mean number of requests in
    /// flight per engine within the last second.
    double mean() const noexcept;

    /// Returns the maximum number of requests in flight on an engine, including
    /// the next one; at least 1.
    std::uint32_t bound() const noexcept;

private:
    /// Digests of one source, indexed by epoch modulo the array size.
    struct history
    {
        std::array<load_digest, 8> digests{};
        load_epoch latest;

        const load_digest* find(load_epoch epoch) const;
    };

    bool is_recent(const history& source) const;
    /// Returns the mean load at the epoch, or nothing if a recently active
    /// source has not sent its digest of the epoch yet.
    std::optional<double> mean_at(load_epoch epoch) const;
    double decayed_load(const history& source, load_epoch epoch) const;

    load_bound_settings m_settings;
    std::unordered_map<vm_id, history> m_sources;
    std::size_t m_engines = 0;
    load_epoch m_current_epoch;
    std::uint64_t m_own_in_flight = 0;
    double m_mean = 0;
};

} // namespace limpet::placement
