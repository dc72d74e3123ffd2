/// \file
/// Engines with free slots, as reported by the routers' digests.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace limpet::placement
{

/// The engine with the most free slots among those of one router.
struct spare_engine
{
    engine_id engine;
    /// Free slots of the engine at the time of the digest.
    std::uint32_t room = 0;
    time_point reported_at;
};

/// Per router, the engine of one model with the most free slots. A request
/// whose preferred engines are full is sent to one of these instead of probing
/// engines one by one. Not thread-safe.
class spare_list
{
public:
    /// Ignores reports that are older than `max_age`.
    explicit spare_list(duration max_age);

    /// Stores the source's report unless a later one is stored.
    void report(const vm_id& source, const spare_engine& spare);

    /// Removes a source that has left the fleet.
    void remove_source(const vm_id& source);

    /// Reserves one slot and returns its engine. The engine is selected with a
    /// probability proportional to its free slots by `draw`, a random number in
    /// [0, 1). Returns nothing if no engine has a free slot.
    std::optional<engine_id> take(double draw, time_point now);

private:
    struct entry
    {
        vm_id source;
        spare_engine spare;
    };

    duration m_max_age;
    std::vector<entry> m_entries;
};

} // namespace limpet::placement
