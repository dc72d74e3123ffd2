/// \file
/// Engines with room, as the routers' digests name them.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace limpet::placement
{

/// The engine with the most room among those of one router.
struct spare_engine
{
    engine_id engine;
    /// Requests that the engine could take at the time of the digest.
    std::uint32_t room = 0;
    time_point taken_at;
};

/// For one model, the engine with the most room of each router. A request that
/// finds its warm engines full goes to one of them, so that it need not try
/// engine after engine. Not thread-safe.
class spare_list
{
public:
    /// Ignores reports older than `keep`.
    explicit spare_list(duration keep);

    /// Takes the source's report unless a later one is known.
    void report(const vm_id& source, const spare_engine& spare);

    /// Forgets a source that left.
    void forget(const vm_id& source);

    /// Takes one request's room from an engine, chosen in proportion to the
    /// room by `draw` in [0, 1). Returns nothing if no engine has room.
    std::optional<engine_id> take(double draw, time_point now);

private:
    struct row
    {
        vm_id source;
        spare_engine spare;
    };

    duration m_keep;
    std::vector<row> m_rows;
};

} // namespace limpet::placement
