/// \file
/// Objects of the configuration.

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

/// An organisation that shares the pool of model capacity.
struct partner
{
    partner_id id;
    /// Weight of the partner's requests where both partners have some.
    std::uint32_t share = 100;
    /// Part of each engine's capacity that the partner is sure of. The sum
    /// over all partners is at most 100.
    std::uint32_t guaranteed_percent = 0;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// Parameters shared by teams. A change applies to all teams made from it.
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

/// A team made from a template of the same partner.
struct team
{
    team_id id;
    partner_id owner;
    template_id base;
    parameter_overrides overrides;
    /// Digests of the keys that callers present, several during a rotation.
    std::vector<sha256_digest> keys;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// Someone who may submit commands.
struct operator_account
{
    operator_id id;
    /// Partner whose objects the operator may change; all if absent.
    std::optional<partner_id> scope;
    sha256_digest token;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

struct data_centre
{
    data_centre_id id;
    region_id region;
    /// Partner whose operators may take it out of service; only operators
    /// without a scope if absent.
    std::optional<partner_id> owner;
    bool in_service = true;

    const std::string& name() const noexcept
    {
        return id.get();
    }
};

/// Operators' decision on a backend server. Servers announce themselves, so
/// one that is not listed is in service.
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

/// Sends a partner's requests under a path to a plain service.
struct service_route
{
    /// The partner and the path prefix, such as "bureau/alerts".
    std::string id;
    /// Name under which backend servers announce the service.
    std::string service;
    /// Methods whose requests may run more than once; all others may not.
    std::vector<std::string> repeatable_methods;
    duration deadline = seconds(30);

    const std::string& name() const noexcept
    {
        return id;
    }

    /// Returns the partner's name within the id.
    std::string_view owner() const noexcept;

    /// Returns the path prefix within the id; it starts with a slash.
    std::string_view path() const noexcept;

    /// Returns whether requests of the method may run more than once.
    bool repeatable(std::string_view method) const noexcept;
};

using object = std::variant<partner,
                            team_template,
                            team,
                            operator_account,
                            data_centre,
                            backend_server,
                            service_route>;

/// Kind of an object, in the order of the alternatives of `object`.
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

/// Returns the kind's name in documents, such as "team".
std::string_view to_string(object_kind kind) noexcept;

/// Parses a kind's name.
std::optional<object_kind> parse_object_kind(std::string_view text) noexcept;

/// Name of one object.
struct object_key
{
    object_kind kind = object_kind::partner;
    std::string id;

    friend bool operator==(const object_key&, const object_key&) = default;
};

/// Returns the key of the object.
object_key key_of(const object& value);

/// Returns the key for messages, such as "team clinics".
std::string to_string(const object_key& key);

/// An object together with its last change.
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
