/// \file
/// Registrations of backend servers in FlatBuffers.

#pragma once

#include "directory_generated.h"

#include <limpet/directory/registration.hpp>

namespace limpet::directory
{

/// Reads a registration received at `now`, from which its times count.
registration read_registration(const fb::registration& from, time_point now);

} // namespace limpet::directory
