#include <limpet/config/config_view.hpp>

namespace limpet::config
{

namespace
{

using find_function = std::optional<object> (*)(const config_view&,
                                                std::string_view);
using mark_function = std::optional<config_view::change_mark> (*)(
    const config_view&, std::string_view);

template <class Object>
std::optional<object> find_as_object(const config_view& view,
                                     std::string_view id)
{
    const stored<Object>* found = view.find<Object>(id);
    return found == nullptr ? std::nullopt
                            : std::optional<object>(found->value);
}

template <class Object>
std::optional<config_view::change_mark> find_mark(const config_view& view,
                                                  std::string_view id)
{
    const stored<Object>* found = view.find<Object>(id);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    return config_view::change_mark{found->changed_at, found->author};
}

// Functions for each kind, in the order of the alternatives of `object`.
struct kind_functions
{
    find_function find;
    mark_function mark;
};

template <class Object>
constexpr kind_functions functions_of = {&find_as_object<Object>,
                                         &find_mark<Object>};

constexpr kind_functions functions[] = {
    functions_of<partner>,
    functions_of<team_template>,
    functions_of<team>,
    functions_of<operator_account>,
    functions_of<data_centre>,
    functions_of<backend_server>,
    functions_of<service_route>,
};

const kind_functions& functions_for(object_kind kind)
{
    return functions[static_cast<std::size_t>(kind)];
}

} // namespace

const stored<team>* config_view::team_of_key(const sha256_digest& key) const
{
    const key_entry* entry = m_team_keys.find(key.view());
    return entry == nullptr ? nullptr : find<team>(entry->id);
}

const stored<operator_account>*
config_view::operator_of_token(const sha256_digest& token) const
{
    const key_entry* entry = m_operator_tokens.find(token.view());
    return entry == nullptr ? nullptr : find<operator_account>(entry->id);
}

team_parameters config_view::parameters_of(const team& of) const
{
    static const parameters without_template;
    const stored<team_template>* base = find<team_template>(of.base.get());
    return {base == nullptr ? without_template : base->value.values,
            of.overrides};
}

bool config_view::in_service(const data_centre_id& id) const
{
    const stored<data_centre>* found = find<data_centre>(id.get());
    return found == nullptr || found->value.in_service;
}

bool config_view::in_service(const engine_id& id) const
{
    const stored<backend_server>* found = find<backend_server>(id.get());
    return found == nullptr || found->value.in_service;
}

const service_route* config_view::route_of(const partner_id& owner,
                                           std::string_view path) const
{
    std::string id = owner.get();
    id += path;
    while (id.size() > owner.get().size())
    {
        const stored<service_route>* found = find<service_route>(id);
        if (found != nullptr)
        {
            return &found->value;
        }
        const std::size_t slash = id.rfind('/');
        if (slash == std::string::npos)
        {
            return nullptr;
        }
        id.resize(slash);
    }
    return nullptr;
}

std::optional<object> config_view::find_object(const object_key& key) const
{
    return functions_for(key.kind).find(*this, key.id);
}

std::optional<config_view::change_mark>
config_view::mark_of(const object_key& key) const
{
    return functions_for(key.kind).mark(*this, key.id);
}

void config_view::apply(const update& change, const position& after)
{
    m_where = after;
    if (change.value)
    {
        load(*change.value, {change.number, change.author});
        return;
    }
    erase(change.key);
}

void config_view::load(const object& value, const change_mark& mark)
{
    unindex(key_of(value));
    std::visit(
        [&](const auto& each)
        {
            put(each, mark);
        },
        value);
    index(value);
}

template <class Object>
void config_view::put(const Object& value, const change_mark& mark)
{
    std::get<persistent_map<stored<Object>>>(m_objects).put(
        stored<Object>{value, mark.changed_at, mark.author});
}

void config_view::erase(const object_key& key)
{
    const std::optional<object> old = find_object(key);
    if (!old)
    {
        return;
    }
    unindex(key);
    std::visit(
        [&]<class Object>(const Object&)
        {
            std::get<persistent_map<stored<Object>>>(m_objects).erase(key.id);
        },
        *old);
}

void config_view::index(const object& value)
{
    if (const auto* of = std::get_if<team>(&value))
    {
        for (const sha256_digest& each : of->keys)
        {
            m_team_keys.put(key_entry{each, of->id.get()});
        }
    }
    if (const auto* of = std::get_if<operator_account>(&value))
    {
        m_operator_tokens.put(key_entry{of->token, of->id.get()});
    }
}

void config_view::unindex(const object_key& key)
{
    if (key.kind == object_kind::team)
    {
        const stored<team>* old = find<team>(key.id);
        for (std::size_t i = 0; old != nullptr && i < old->value.keys.size();
             ++i)
        {
            m_team_keys.erase(old->value.keys[i].view());
        }
    }
    if (key.kind == object_kind::operator_account)
    {
        const stored<operator_account>* old = find<operator_account>(key.id);
        if (old != nullptr)
        {
            m_operator_tokens.erase(old->value.token.view());
        }
    }
}

} // namespace limpet::config
