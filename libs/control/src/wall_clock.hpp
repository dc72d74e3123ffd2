/// \file
/// The system's wall clock.

#pragma once

#include <cstdint>

namespace limpet::control
{

/// Returns the milliseconds since the Unix epoch.
std::uint64_t unix_ms();

} // namespace limpet::control
