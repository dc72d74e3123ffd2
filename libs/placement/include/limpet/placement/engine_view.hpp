/// \file
/// Properties of an engine that placement uses.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>

#include <cstdint>

namespace limpet::placement
{

/// An engine of a model as listed by this router.
struct engine_view
{
    engine_id id;
    incarnation run;
    data_centre_id data_centre;
    /// Relative share of chats assigned to the engine.
    double weight = 1;
    /// Maximum number of concurrent requests when the engine is warm.
    std::uint32_t slots = 16;
    /// Time at which this incarnation joined, according to the engine list.
    time_point joined_at;
    /// False while the engine or its data centre is out of service, or after
    /// the engine has announced that it is leaving. The engine then receives no
    /// new requests.
    bool in_service = true;
};

} // namespace limpet::placement
