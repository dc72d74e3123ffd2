/// \file
/// Read access to one revision of the configuration.

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

/// All objects at one revision. Copies share their objects, so a copy and one
/// change cost the same for ten teams and for thousands. Published as
/// `std::shared_ptr<const config_view>`, which any thread may read; pointers
/// and references into it live as long as that.
class config_view
{
public:
    config_view() = default;

    /// Starts an empty configuration.
    explicit config_view(const position& where)
        : m_where(where)
    {
    }

    const position& where() const noexcept
    {
        return m_where;
    }

    /// Returns the object of the id or null, for example
    /// `find<team>("clinics")`.
    template <class Object>
    const stored<Object>* find(std::string_view id) const
    {
        return objects<Object>().find(id);
    }

    /// Returns all objects of a type.
    template <class Object>
    const persistent_map<stored<Object>>& objects() const noexcept
    {
        return std::get<persistent_map<stored<Object>>>(m_objects);
    }

    /// Returns the team that a caller's key belongs to, or null.
    const stored<team>* team_of_key(const sha256_digest& key) const;

    /// Returns the operator that a token belongs to, or null.
    const stored<operator_account>*
    operator_of_token(const sha256_digest& token) const;

    /// Returns the team's parameters in force. The team must be of this view.
    team_parameters parameters_of(const team& of) const;

    /// Returns whether new work may go to the data centre. One that is not
    /// listed is in service.
    bool in_service(const data_centre_id& id) const;

    /// Returns whether new work may go to the backend server, without regard
    /// to its data centre.
    bool in_service(const engine_id& id) const;

    /// Returns the route of the longest prefix of the path that ends at a
    /// slash or the path's end, or null. The path has no query.
    const service_route* route_of(const partner_id& owner,
                                  std::string_view path) const;

    /// Returns the object or nothing.
    std::optional<object> find_object(const object_key& key) const;

    /// Returns the object's last change or nothing.
    struct change_mark
    {
        revision changed_at;
        operator_id author;
    };
    std::optional<change_mark> mark_of(const object_key& key) const;

    /// Applies a validated update and moves to its position.
    void apply(const update& change, const position& after);

    /// Moves to the position without a change of an object.
    void move_to(const position& where)
    {
        m_where = where;
    }

    /// Puts an object of a snapshot without moving the position.
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
