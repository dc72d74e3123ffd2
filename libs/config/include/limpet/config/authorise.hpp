/// \file
/// Which operators may change which objects.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/command.hpp>
#include <limpet/config/config_view.hpp>

#include <optional>

namespace limpet::config
{

/// Returns success or error_code::forbidden. An operator without a scope may
/// change everything. One scoped to a partner may change that partner's
/// templates, teams, service routes and operators, and take the partner's
/// data centres and the backend servers in them in and out of service. Both
/// the object in force and the one that replaces it must be the partner's.
status authorise(const config_view& view,
                 const operator_account& who,
                 const change& what);

/// Returns whether an operator of the scope may read the object.
bool may_read(const config_view& view,
              const std::optional<partner_id>& scope,
              const object& value);

} // namespace limpet::config
