/// \file
/// Validation of a change against the other objects in force.

#pragma once

#include <limpet/config/command.hpp>
#include <limpet/config/config_view.hpp>

#include <optional>

namespace limpet::config
{

/// Returns why the object cannot be created or replaced, or nothing if it can.
std::optional<rejected> check_put(const config_view& view, const object& value);

/// Returns why the object cannot be removed, or nothing if it can.
std::optional<rejected> check_remove(const config_view& view,
                                     const object_key& key);

} // namespace limpet::config
