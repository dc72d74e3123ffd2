/// \file
/// Bound of an engine's load relative to the mean of its model.

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

/// Number of a period of the VMs' common clock. All routers count their load
/// at the start of each epoch, so that the counts add up to a load that the
/// fleet truly had.
using load_epoch = strong_type<struct load_epoch_tag, std::uint64_t>;

/// Length of an epoch, and so the interval of load digests.
inline constexpr duration load_epoch_length = milliseconds(250);

/// Most that the VMs' clocks may be apart. A digest carries the lowest load
/// within this time of the epoch's start.
inline constexpr duration load_clock_skew = milliseconds(25);

/// Returns the epoch of a time on the VMs' common clock.
load_epoch epoch_of(duration since_clock_start);

/// Parameters of the load bound.
struct load_bound_settings
{
    /// Highest load of an engine as a multiple of the mean.
    double multiple = 1.25;
    /// Epochs, the present one included, whose highest mean counts. They
    /// began within the last second.
    std::uint64_t epochs = 3;
    /// Time in which the load of a router without recent digests is assumed
    /// to fall to 1/e, as requests finish without new ones.
    duration fall_time = seconds(6);
};

/// Load of one router's engines of a model at the start of an epoch.
struct load_digest
{
    load_epoch epoch;
    /// The router's engines in service.
    std::uint32_t engines = 0;
    /// The lowest number in flight on them within load_clock_skew of the
    /// epoch's start.
    std::uint64_t in_flight = 0;
};

/// Bound of one model's engines, kept by each router that owns some of them.
/// While digests arrive in time it never exceeds the set multiple of the
/// highest true mean of the last second. Not thread-safe.
class load_bound
{
public:
    explicit load_bound(load_bound_settings settings);

    /// Sets the number of engines in service on the router's list. Lists
    /// disagree for seconds, digests come from the engines' owners: the higher
    /// number counts.
    void set_engines(std::size_t count);

    /// Takes a source's digest. The source is a router, or a data centre
    /// whose sum arrives as one.
    void report(const vm_id& source, const load_digest& digest);

    /// Forgets a source that left.
    void forget(const vm_id& source);

    /// Sets the number of requests in flight now on this router's engines of
    /// the model. The true mean is at least their part of it, so a burst after
    /// a quiet time need not wait for the next digests.
    void set_own(std::uint64_t in_flight) noexcept;

    /// Sets the present epoch. Call at least once in an epoch, and
    /// after the other calls.
    void advance(load_epoch present);

    /// Returns a lower bound of the highest true mean in flight within the
    /// last second.
    double mean() const noexcept;

    /// Returns the most requests that an engine may have in flight, the next
    /// one included; at least 1.
    std::uint32_t bound() const noexcept;

private:
    /// Digests of one source by epoch modulo the array's size.
    struct history
    {
        std::array<load_digest, 8> digests{};
        load_epoch latest;

        const load_digest* find(load_epoch epoch) const;
    };

    bool is_recent(const history& source) const;
    /// Returns the mean at the epoch, or nothing while digests of it are
    /// still to come.
    std::optional<double> mean_at(load_epoch epoch) const;
    double faded_load(const history& source, load_epoch epoch) const;

    load_bound_settings m_settings;
    std::unordered_map<vm_id, history> m_sources;
    std::size_t m_engines = 0;
    load_epoch m_present;
    std::uint64_t m_own = 0;
    double m_mean = 0;
};

} // namespace limpet::placement
