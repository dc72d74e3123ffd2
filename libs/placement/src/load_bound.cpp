#include <limpet/placement/load_bound.hpp>

#include <algorithm>
#include <cmath>

namespace limpet::placement
{

load_epoch epoch_of(duration since_clock_start)
{
    return load_epoch(
        static_cast<std::uint64_t>(since_clock_start / load_epoch_length));
}

load_bound::load_bound(load_bound_settings settings)
    : m_settings(settings)
{
}

void load_bound::set_engines(std::size_t count)
{
    m_engines = count;
}

void load_bound::report(const vm_id& source, const load_digest& digest)
{
    history& source_history = m_sources[source];
    load_digest& slot =
        source_history
            .digests[digest.epoch.get() % source_history.digests.size()];
    if (digest.epoch >= slot.epoch)
    {
        slot = digest;
    }
    source_history.latest = std::max(source_history.latest, digest.epoch);
}

void load_bound::remove_source(const vm_id& source)
{
    m_sources.erase(source);
}

void load_bound::advance(load_epoch current)
{
    m_current_epoch = current;
    double highest = 0;
    const std::uint64_t epoch_count =
        std::min(m_settings.epochs, current.get() + 1);
    for (std::uint64_t age = 0; age < epoch_count; ++age)
    {
        const auto mean = mean_at(load_epoch(current.get() - age));
        highest = std::max(highest, mean.value_or(0));
    }
    m_mean = highest;
}

double load_bound::mean() const noexcept
{
    return m_mean;
}

void load_bound::set_own_in_flight(std::uint64_t in_flight) noexcept
{
    m_own_in_flight = in_flight;
}

std::uint32_t load_bound::bound() const noexcept
{
    // Counts the request that is about to start besides this router's requests
    // in flight.
    const double own_mean = m_engines == 0
                                ? 0
                                : static_cast<double>(m_own_in_flight + 1) /
                                      static_cast<double>(m_engines);
    const double mean = std::max(m_mean, own_mean);
    const double highest = std::ceil(m_settings.multiple * mean - 1e-9);
    return static_cast<std::uint32_t>(std::max(1.0, highest));
}

const load_digest* load_bound::history::find(load_epoch epoch) const
{
    const load_digest& slot = digests[epoch.get() % digests.size()];
    return slot.epoch == epoch ? &slot : nullptr;
}

bool load_bound::is_recent(const history& source) const
{
    return source.latest.get() + m_settings.epochs > m_current_epoch.get();
}

std::optional<double> load_bound::mean_at(load_epoch epoch) const
{
    double sum = 0;
    std::size_t reported = 0;
    for (const auto& [id, source] : m_sources)
    {
        const load_digest* digest = source.find(epoch);
        if (digest != nullptr)
        {
            sum += static_cast<double>(digest->in_flight);
            reported += digest->engines;
        }
        else if (is_recent(source))
        {
            // A recently active source has not sent its digest of this epoch
            // yet, so the sum is incomplete.
            return std::nullopt;
        }
        else
        {
            sum += decayed_load(source, epoch);
            reported += source.find(source.latest)->engines;
        }
    }
    const std::size_t engines = std::max(m_engines, reported);
    return engines > 0 ? sum / static_cast<double>(engines) : 0;
}

double load_bound::decayed_load(const history& source, load_epoch epoch) const
{
    const load_digest* last = source.find(source.latest);
    if (last == nullptr || source.latest > epoch)
    {
        return 0;
    }
    const auto elapsed_epochs =
        static_cast<double>(epoch.get() - source.latest.get());
    const double age = elapsed_epochs * to_seconds(load_epoch_length);
    const double decay = std::exp(-age / to_seconds(m_settings.decay_time));
    return decay * static_cast<double>(last->in_flight);
}

} // namespace limpet::placement
