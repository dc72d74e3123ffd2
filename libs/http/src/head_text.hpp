/// \file
/// Text of message heads as sent.

#pragma once

#include <limpet/http/message.hpp>

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <string>

namespace limpet::http
{

/// Appends the fields but those that describe the connection and the length
/// of the body, which are the sender's own. Bytes that would end a field are
/// left out.
void append_fields(std::string& text, const header_list& headers);

/// Appends one field.
void append_field(std::string& text,
                  std::string_view name,
                  std::string_view value);

/// Returns the start of an answer: status line and the message's own fields.
std::string status_text(const response_head& head);

/// Returns the start of a request: request line and the message's own fields.
std::string request_text(const request& message);

/// Copies the fields of a received message.
header_list to_header_list(const boost::beast::http::fields& fields);

/// Returns the line before a chunk of the given size.
std::string chunk_line(std::size_t size);

} // namespace limpet::http
