#include <limpet/base/error.hpp>

namespace limpet
{

std::string_view to_string(error_code code) noexcept
{
    switch (code)
    {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::malformed:
        return "malformed";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unauthenticated:
        return "unauthenticated";
    case error_code::forbidden:
        return "forbidden";
    case error_code::not_owner:
        return "not_owner";
    case error_code::not_leader:
        return "not_leader";
    case error_code::overloaded:
        return "overloaded";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timeout:
        return "timeout";
    case error_code::cancelled:
        return "cancelled";
    case error_code::io_error:
        return "io_error";
    case error_code::corrupt:
        return "corrupt";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

} // namespace limpet
