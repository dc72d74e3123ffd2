/// \file
/// Immutable view of one revision of the configuration.

#pragma once

#include <limpet/config/objects.hpp>
#include <limpet/config/persistent_map.hpp>
#include <limpet/config/position.hpp>
#include <limpet/config/update.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace limpet::config
{

/// All objects at one revision. Copies share their objects, so the cost of
/// copying a view and applying one change does not depend on the number of
/// objects. Published as `std::shared_ptr<const config_view>`, which any thread
/// may read; pointers and references into the view are valid as long as the
/// view exists.
class config_view
{
public:
    config_view() = default;

    /// Creates an empty configuration at the position.
    explicit config_view(const position& where)
        : m_where(where)
    {
    }

    const position& where() const noexcept
    {
        return m_where;
    }

    /// Returns the object with the id, or null. Example:
    /// `find<team>("clinics")`.
    template <class Object>
    const stored<Object>* find(std::string_view id) const
    {
        return objects<Object>().find(id);
    }

    /// Returns all objects of one type.
    template <class Object>
    const persistent_map<stored<Object>>& objects() const noexcept
    {
        return std::get<persistent_map<stored<Object>>>(m_objects);
    }

    /// Returns the team that owns the API key with the digest, or null.
    const stored<team>* team_of_key(const sha256_digest& key) const;

    /// Returns the operator that owns the token with the digest, or null.
    const stored<operator_account>*
    operator_of_token(const sha256_digest& token) const;

    /// Returns the team's effective parameters. The team must be from this
    /// view.
    team_parameters parameters_of(const team& of) const;

    /// Returns whether new requests may be routed to the data centre. A data
    /// centre without an entry is in service.
    bool in_service(const data_centre_id& id) const;

    /// Returns whether new requests may be routed to the backend server. Does
    /// not take the state of its data centre into account.
    bool in_service(const engine_id& id) const;

    /// Returns the service route with the longest matching path prefix, or
    /// null. A prefix matches if it ends at a slash or at the end of the path.
    /// The path must not contain a query.
    const service_route* route_of(const partner_id& owner,
                                  std::string_view path) const;

    /// Returns the object, or nothing if it does not exist.
    std::optional<object> find_object(const object_key& key) const;

    /// Revision and author of an object's last change.
    struct change_mark
    {
        revision changed_at;
        operator_id author;
    };

    /// Returns the object's last change, or nothing if it does not exist.
    std::optional<change_mark> mark_of(const object_key& key) const;

    /// Applies a validated update and advances to the position after it.
    void apply(const update& change, const position& after);

    /// Sets the position without changing any object.
    void move_to(const position& where)
    {
        m_where = where;
    }

    /// Inserts an object from a snapshot without advancing the position.
    void load(const object& value, const change_mark& mark);

private:
    struct key_entry
    {
        sha256_digest digest;
        std::string id;

        std::string_view key() const noexcept
        {
            return digest.view();
        }
    };

    template <class Object>
    void put(const Object& value, const change_mark& mark);
    void erase(const object_key& key);
    void index(const object& value);
    void unindex(const object_key& key);

    position m_where;
    std::tuple<persistent_map<stored<partner>>,
               persistent_map<stored<team_template>>,
               persistent_map<stored<team>>,
               persistent_map<stored<operator_account>>,
               persistent_map<stored<data_centre>>,
               persistent_map<stored<backend_server>>,
               persistent_map<stored<service_route>>>
        m_objects;
    persistent_map<key_entry> m_team_keys;
    persistent_map<key_entry> m_operator_tokens;
};

using view_ptr = std::shared_ptr<const config_view>;

} // namespace limpet::config
