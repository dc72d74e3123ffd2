/// \file
/// JSON form of the configuration's objects.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/objects.hpp>

#include <boost/json.hpp>

#include <string>

namespace limpet::config
{

/// Returns the object with its kind and id. Equal objects give equal texts.
boost::json::value to_json(const object& value);

/// Returns the parameters as in a template's document.
boost::json::object parameters_json(const parameters& values);

/// Parses an object. The path names it in errors; unknown fields are refused.
outcome<object> parse_object(const boost::json::value& document,
                             const std::string& path);

/// Parses `{"kind": ..., "id": ...}`.
outcome<object_key> parse_object_key(const boost::json::value& document,
                                     const std::string& path);

} // namespace limpet::config
