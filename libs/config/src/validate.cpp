#include "validate.hpp"

namespace limpet::config
{

namespace
{

using verdict = std::optional<rejected>;

verdict invalid(std::string field, std::string reason)
{
    return rejected{
        error_code::invalid_argument, std::move(field), std::move(reason), {}};
}

template <class Object>
verdict check_reference(const config_view& view,
                        std::string_view field,
                        const std::string& id)
{
    if (view.find<Object>(id) != nullptr)
    {
        return std::nullopt;
    }
    return invalid(std::string(field),
                   "names " + id + ", which does not exist");
}

struct put_checker
{
    const config_view& view;

    verdict operator()(const partner& value) const
    {
        std::uint32_t total = value.guaranteed_percent;
        view.objects<partner>().for_each(
            [&](const stored<partner>& each)
            {
                const bool other = each.value.id != value.id;
                total += other ? each.value.guaranteed_percent : 0;
            });
        if (total <= 100)
        {
            return std::nullopt;
        }
        return invalid("guaranteed_percent",
                       "brings the sum over all partners to " +
                           std::to_string(total) + ", above 100");
    }

    verdict operator()(const team_template& value) const
    {
        const stored<team_template>* old =
            view.find<team_template>(value.id.get());
        if (old != nullptr && old->value.owner != value.owner)
        {
            return invalid("partner", "cannot be changed");
        }
        return check_reference<partner>(view, "partner", value.owner.get());
    }

    verdict operator()(const team& value) const
    {
        const stored<team>* old = view.find<team>(value.id.get());
        if (old != nullptr && old->value.owner != value.owner)
        {
            return invalid("partner", "cannot be changed");
        }
        verdict missing =
            check_reference<team_template>(view, "template", value.base.get());
        if (missing)
        {
            return missing;
        }
        if (view.find<team_template>(value.base.get())->value.owner !=
            value.owner)
        {
            return invalid("template", "belongs to another partner");
        }
        return check_keys(value);
    }

    verdict operator()(const operator_account& value) const
    {
        const stored<operator_account>* holder =
            view.operator_of_token(value.token);
        if (holder != nullptr && holder->value.id != value.id)
        {
            return invalid("token_sha256", "is in use by another operator");
        }
        const stored<operator_account>* old =
            view.find<operator_account>(value.id.get());
        if (old != nullptr && !old->value.scope && value.scope &&
            is_last_global(view, value.id.get()))
        {
            return invalid("partner",
                           "would leave no operator without a scope");
        }
        return value.scope ? check_reference<partner>(
                                 view, "partner", value.scope->get())
                           : std::nullopt;
    }

    verdict operator()(const data_centre& value) const
    {
        return value.owner ? check_reference<partner>(
                                 view, "partner", value.owner->get())
                           : std::nullopt;
    }

    verdict operator()(const backend_server& value) const
    {
        return check_reference<data_centre>(
            view, "data_centre", value.location.get());
    }

    verdict operator()(const service_route& value) const
    {
        return check_reference<partner>(view, "id", std::string(value.owner()));
    }

    verdict check_keys(const team& value) const
    {
        for (const sha256_digest& each : value.keys)
        {
            const stored<team>* holder = view.team_of_key(each);
            if (holder != nullptr && holder->value.id != value.id)
            {
                return invalid("keys_sha256", "has a key of another team");
            }
        }
        return std::nullopt;
    }

    static bool is_last_global(const config_view& view, std::string_view id)
    {
        bool other = false;
        view.objects<operator_account>().for_each(
            [&](const stored<operator_account>& each)
            {
                other |= !each.value.scope && each.key() != id;
            });
        return !other;
    }
};

/// Returns a rejection that names an object of the type that uses the object
/// with the key, or nothing if there is none.
template <class Object, class Test>
verdict check_unused(const config_view& view, const object_key& key, Test uses)
{
    verdict used;
    view.objects<Object>().for_each(
        [&](const stored<Object>& each)
        {
            if (!used && uses(each.value))
            {
                const object user(each.value);
                used = invalid("id",
                               to_string(key) + " is used by " +
                                   to_string(key_of(user)));
            }
        });
    return used;
}

verdict check_remove_partner(const config_view& view, const object_key& key)
{
    const auto owned = [&](const auto& each)
    {
        return each.owner.get() == key.id;
    };
    if (verdict used = check_unused<team_template>(view, key, owned))
    {
        return used;
    }
    if (verdict used = check_unused<team>(view, key, owned))
    {
        return used;
    }
    if (verdict used = check_unused<operator_account>(
            view,
            key,
            [&](const operator_account& each)
            {
                return each.scope && each.scope->get() == key.id;
            }))
    {
        return used;
    }
    if (verdict used = check_unused<data_centre>(view,
                                                 key,
                                                 [&](const data_centre& each)
                                                 {
                                                     return each.owner &&
                                                            each.owner->get() ==
                                                                key.id;
                                                 }))
    {
        return used;
    }
    return check_unused<service_route>(view,
                                       key,
                                       [&](const service_route& each)
                                       {
                                           return each.owner() == key.id;
                                       });
}

verdict check_remove_operator(const config_view& view, const object_key& key)
{
    const stored<operator_account>* old = view.find<operator_account>(key.id);
    if (old != nullptr && !old->value.scope &&
        put_checker::is_last_global(view, key.id))
    {
        return invalid("id", "would leave no operator without a scope");
    }
    return std::nullopt;
}

} // namespace

std::optional<rejected> check_put(const config_view& view, const object& value)
{
    return std::visit(put_checker{view}, value);
}

std::optional<rejected> check_remove(const config_view& view,
                                     const object_key& key)
{
    switch (key.kind)
    {
    case object_kind::partner:
        return check_remove_partner(view, key);
    case object_kind::team_template:
        return check_unused<team>(view,
                                  key,
                                  [&](const team& each)
                                  {
                                      return each.base.get() == key.id;
                                  });
    case object_kind::operator_account:
        return check_remove_operator(view, key);
    case object_kind::data_centre:
        return check_unused<backend_server>(view,
                                            key,
                                            [&](const backend_server& each)
                                            {
                                                return each.location.get() ==
                                                       key.id;
                                            });
    case object_kind::team:
    case object_kind::backend_server:
    case object_kind::service_route:
        break;
    }
    return std::nullopt;
}

} // namespace limpet::config
