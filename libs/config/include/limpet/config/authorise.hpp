/// \file
/// Authorization of operators to read and change configuration objects.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/command.hpp>
#include <limpet/config/config_view.hpp>

#include <optional>

namespace limpet::config
{

/// Checks whether an operator is authorized to make a change. Returns success
/// or error_code::forbidden. An operator without a scope may change every
/// object. An operator scoped to a partner may change that partner's
/// templates, teams, service routes and operators, and may take the partner's
/// data centres and the backend servers in them in and out of service. Both
/// the current object and its replacement must belong to the partner.
status authorise(const config_view& view,
                 const operator_account& who,
                 const change& what);

/// Returns whether an operator with the given scope may read the object.
bool may_read(const config_view& view,
              const std::optional<partner_id>& scope,
              const object& value);

} // namespace limpet::config
