/// \file
/// Refusal of a request that was not run.

#pragma once

#include <limpet/base/error.hpp>
#include <limpet/base/units.hpp>

#include <string_view>

namespace limpet::admission
{

/// Why a request was refused.
enum class refusal_reason
{
    queue_full,       ///< The partner's queue at the engine is full.
    too_many_open,    ///< The team has reached its cap of open requests.
    deadline,         ///< The request cannot start before its deadline.
    out_of_service,   ///< The engine accepts no new requests.
    retries_exhausted ///< The retry budget is spent.
};

/// Returns the reason's name as used in logs and JSON answers.
std::string_view to_string(refusal_reason reason) noexcept;

/// Refusal of a request, with the time after which the caller may retry.
struct refusal
{
    refusal_reason reason = refusal_reason::queue_full;
    duration retry_after{};
};

/// Returns the error code of the refusal.
error_code code_of(refusal_reason reason) noexcept;

} // namespace limpet::admission
