/// \file
/// Handling of operators' read requests.

#pragma once

#include <limpet/config/operator_api.hpp>

#include <string_view>

namespace limpet::config
{

/// Returns the path of the request target, without the query.
std::string_view path_of(std::string_view target);

/// Handles a GET request of an authenticated operator.
api_response handle_read(const api_request& request,
                         const api_context& context,
                         const operator_account& who);

} // namespace limpet::config
