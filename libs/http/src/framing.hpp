/// \file
/// Checks of what delimits a message's body that the parser leaves to its
/// user.

#pragma once

#include <boost/beast/http/fields.hpp>

#include <string_view>
#include <vector>

namespace limpet::http
{

/// What the Transfer-Encoding fields of a message say of its body (RFC 9112,
/// section 6.1).
enum class transfer_coding
{
    none,        ///< There is no such field.
    chunked,     ///< The body comes in chunks and is not coded otherwise.
    unsupported, ///< The body comes in chunks and is coded otherwise as well.
    undelimited, ///< The end of the body cannot be told.
};

/// Takes the values of the fields, in their order.
transfer_coding transfer_coding_of(const std::vector<std::string_view>& values);
transfer_coding transfer_coding_of(const boost::beast::http::fields& fields);

} // namespace limpet::http
