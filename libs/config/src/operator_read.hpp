/// \file
/// Answers to the reading requests of operators.

#pragma once

#include <limpet/config/operator_api.hpp>

#include <string_view>

namespace limpet::config
{

/// Returns the target without its query.
std::string_view path_of(std::string_view target);

/// Answers a GET request of an authenticated operator.
api_response answer_read(const api_request& request,
                         const api_context& context,
                         const operator_account& who);

} // namespace limpet::config
