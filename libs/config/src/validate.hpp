/// \file
/// Checks of a change against the other objects in force.

#pragma once

#include <limpet/config/command.hpp>
#include <limpet/config/config_view.hpp>

#include <optional>

namespace limpet::config
{

/// Returns why the object may not be put, or nothing.
std::optional<rejected> check_put(const config_view& view, const object& value);

/// Returns why the object may not be removed, or nothing.
std::optional<rejected> check_remove(const config_view& view,
                                     const object_key& key);

} // namespace limpet::config
