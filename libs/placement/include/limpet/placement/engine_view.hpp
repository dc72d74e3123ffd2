/// \file
/// What placement needs to know about one engine.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::placement
{

/// One engine of a model as the router's list of engines shows it.
struct engine_view
{
    engine_id id;
    incarnation run;
    data_centre_id data_centre;
    /// Relative share of the chats that the engine is chosen for.
    double weight = 1;
    /// Highest number of requests that the warm engine serves at once.
    std::uint32_t slots = 16;
    /// When this incarnation joined, as the list of engines gives it.
    time_point joined_at;
    /// False while the engine or its data centre is out of service, or the
    /// engine has announced that it leaves. It then gets no new work.
    bool in_service = true;
};

} // namespace limpet::placement
