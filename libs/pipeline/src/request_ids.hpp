/// \file
/// Identifiers that a process draws.

#pragma once

#include <limpet/base/ids.hpp>

namespace limpet::pipeline
{

/// Returns a request id that no other process draws. Thread-safe.
request_id make_request_id();

/// Returns the number of this start, higher than that of all earlier starts
/// as long as the system's clock is not set back.
incarnation make_incarnation();

} // namespace limpet::pipeline
