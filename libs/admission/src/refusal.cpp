#include <limpet/admission/refusal.hpp>

namespace limpet::admission
{

std::string_view to_string(refusal_reason reason) noexcept
{
    switch (reason)
    {
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::too_many_open:
        return "too_many_open";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::out_of_service:
        return "out_of_service";
    case refusal_reason::retries_exhausted:
        return "retries_exhausted";
    }
    return "unknown";
}

error_code code_of(refusal_reason reason) noexcept
{
    switch (reason)
    {
    case refusal_reason::queue_full:
    case refusal_reason::too_many_open:
        return error_code::overloaded;
    case refusal_reason::deadline:
        return error_code::timeout;
    case refusal_reason::out_of_service:
    case refusal_reason::retries_exhausted:
        return error_code::unavailable;
    }
    return error_code::internal;
}

} // namespace limpet::admission
