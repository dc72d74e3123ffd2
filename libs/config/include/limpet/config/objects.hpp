/// \file
/// Configuration objects.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/units.hpp>
#include <limpet/config/parameters.hpp>
#include <limpet/config/sha256.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpet::config
{

using operator_id = strong_type<struct operator_id_tag, std::string>;

/// An organisation that shares the engine capacity with other partners.
struct partner
{
    partner_id id;
    /// Weight of the partner's requests when several partners compete for
    /// capacity.
    std::uint32_t share = 100;
    /// Percentage of each engine's capacity that is reserved for the partner.
    /// The sum over all partners is at most 100.
    std::uint32_t guaranteed_percent = 0;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// Parameters shared by teams. A change to the template applies to all teams
/// that are based on it.
struct team_template
{
    template_id id;
    partner_id owner;
    parameters values;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// A team based on a template of the same partner.
struct team
{
    team_id id;
    partner_id owner;
    template_id base;
    parameter_overrides overrides;
    /// Digests of the API keys that the team's callers present; more than one
    /// during a key rotation.
    std::vector<sha256_digest> keys;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// Account of an operator, who may submit commands.
struct operator_account
{
    operator_id id;
    /// Partner whose objects the operator may change; if absent, the operator
    /// may change all objects.
    std::optional<partner_id> scope;
    sha256_digest token;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// A data centre and its service state.
struct data_centre
{
    data_centre_id id;
    region_id region;
    /// Partner whose operators may take the data centre in and out of service;
    /// if absent, only operators without a scope may do so.
    std::optional<partner_id> owner;
    bool in_service = true;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// Service state that operators have set for a backend server. Servers register
/// themselves, so a server without an entry is in service.
struct backend_server
{
    engine_id id;
    data_centre_id location;
    bool in_service = true;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// Routes a partner's requests under a path prefix to a service that is not a
/// model engine.
struct service_route
{
    /// The partner and the path prefix, such as "bureau/alerts".
    std::string id;
    /// Name under which backend servers register the service.
    std::string service;
    /// Methods whose requests may be executed more than once and can therefore
    /// be retried. Requests of all other methods are executed at most once.
    std::vector<std::string> repeatable_methods;
    duration deadline = seconds(30);

    const std::string& name() const noexcept
    {
        return id;
    }

    /// Returns the id's first component, the partner's name.
    std::string_view owner() const noexcept;

    /// Returns the id's path prefix, which starts with a slash.
    std::string_view path() const noexcept;

    /// Returns whether requests of the method may be executed more than once.
    bool repeatable(std::string_view method) const noexcept;
};

using object = std::variant<partner,
                            team_template,
                            team,
                            operator_account,
                            data_centre,
                            backend_server,
                            service_route>;

/// Kind of an object. The order matches the alternatives of `object`.
enum class object_kind : std::uint8_t
{
    partner,
    team_template,
    team,
    operator_account,
    data_centre,
    backend_server,
    service_route,
};

/// Returns the name of the kind as used in documents, such as "team".
std::string_view to_string(object_kind kind) noexcept;

/// Parses the name of a kind. Returns nothing if it is unknown.
std::optional<object_kind> parse_object_kind(std::string_view text) noexcept;

/// Kind and id that identify one object.
struct object_key
{
    object_kind kind = object_kind::partner;
    std::string id;

    friend bool operator==(const object_key&, const object_key&) = default;
};

/// Returns the key of the object.
object_key key_of(const object& value);

/// Returns the key as text for messages, such as "team clinics".
std::string to_string(const object_key& key);

/// An object with the revision and author of its last change.
template <class Object>
struct stored
{
    Object value;
    /// Revision of the configuration at which the object last changed.
    revision changed_at;
    operator_id author;

    /// Returns the object's id.
    std::string_view key() const noexcept
    {
        return value.name();
    }
};

} // namespace limpet::config
