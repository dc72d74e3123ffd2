#include <limpet/config/authorise.hpp>

namespace limpet::config
{

namespace
{

/// Returns the partner whose operators may change an object; nothing if only
/// operators without a scope may change it.
struct owner_finder
{
    const config_view& view;

    std::optional<partner_id> operator()(const partner&) const
    {
        return std::nullopt;
    }

    std::optional<partner_id> operator()(const team_template& value) const
    {
        return value.owner;
    }

    std::optional<partner_id> operator()(const team& value) const
    {
        return value.owner;
    }

    std::optional<partner_id> operator()(const operator_account& value) const
    {
        return value.scope;
    }

    std::optional<partner_id> operator()(const data_centre& value) const
    {
        return value.owner;
    }

    std::optional<partner_id> operator()(const backend_server& value) const
    {
        const stored<data_centre>* location =
            view.find<data_centre>(value.location.get());
        return location == nullptr ? std::nullopt : location->value.owner;
    }

    std::optional<partner_id> operator()(const service_route& value) const
    {
        return partner_id(std::string(value.owner()));
    }
};

bool covers(const config_view& view,
            const partner_id& scope,
            const object& value)
{
    return std::visit(owner_finder{view}, value) == scope;
}

/// Returns the object that results from a change, with at least the fields that
/// determine its owner. Returns nothing if the change removes the object or
/// cannot alter its owner.
std::optional<object> object_after(const change& what)
{
    if (const auto* put = std::get_if<put_object>(&what))
    {
        return put->value;
    }
    const auto* service = std::get_if<set_service>(&what);
    if (service != nullptr && service->location)
    {
        return backend_server{engine_id(service->key.id), *service->location};
    }
    return std::nullopt;
}

/// Returns whether only operators without a scope may make the change. Scoped
/// operators may take data centres in and out of service, but may not create
/// or remove them or transfer them to another partner.
bool requires_global_operator(const change& what)
{
    return target_of(what).kind == object_kind::data_centre &&
           !std::holds_alternative<set_service>(what);
}

} // namespace

status authorise(const config_view& view,
                 const operator_account& who,
                 const change& what)
{
    if (!who.scope)
    {
        return success();
    }
    const object_key target = target_of(what);
    const error refusal{error_code::forbidden,
                        "operator " + who.id.get() + " is limited to partner " +
                            who.scope->get() + " and may not change " +
                            to_string(target)};
    if (requires_global_operator(what))
    {
        return refusal;
    }
    const std::optional<object> before = view.find_object(target);
    const std::optional<object> after = object_after(what);
    if (!before && !after)
    {
        return refusal;
    }
    for (const std::optional<object>& each : {before, after})
    {
        if (each && !covers(view, *who.scope, *each))
        {
            return refusal;
        }
    }
    return success();
}

bool may_read(const config_view& view,
              const std::optional<partner_id>& scope,
              const object& value)
{
    const bool shared = std::holds_alternative<partner>(value) ||
                        std::holds_alternative<data_centre>(value) ||
                        std::holds_alternative<backend_server>(value);
    return !scope || shared || covers(view, *scope, value);
}

} // namespace limpet::config
