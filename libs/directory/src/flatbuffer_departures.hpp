/// \file
/// Departures of backend servers in FlatBuffers.

#pragma once

#include "directory_generated.h"

#include <limpet/directory/departures.hpp>

namespace limpet::directory
{

using departure_list = flatbuffers::Vector<flatbuffers::Offset<fb::departure>>;

/// Writes the departures of a snapshot; nothing if there are none.
flatbuffers::Offset<departure_list>
write_departures(flatbuffers::FlatBufferBuilder& builder,
                 const departure_table& from);

departure_table read_departures(const departure_list* from);

} // namespace limpet::directory
