/// \file
/// JSON representation of configuration objects.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/objects.hpp>

#include <boost/json.hpp>

#include <string>

namespace limpet::config
{

/// Returns the object with its kind and id. Equal objects serialize to equal
/// text.
boost::json::value to_json(const object& value);

/// Returns the parameters in the format of a template document.
boost::json::object parameters_json(const parameters& values);

/// Parses an object. Error messages use the path as the prefix of field names.
/// Unknown fields are rejected.
outcome<object> parse_object(const boost::json::value& document,
                             const std::string& path);

/// Parses `{"kind": ..., "id": ...}`.
outcome<object_key> parse_object_key(const boost::json::value& document,
                                     const std::string& path);

} // namespace limpet::config
