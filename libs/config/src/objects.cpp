#include <limpet/config/objects.hpp>

#include <algorithm>
#include <array>

namespace limpet::config
{

namespace
{

constexpr std::array<std::string_view, 7> kind_names = {
    "partner",
    "template",
    "team",
    "operator",
    "data_centre",
    "backend_server",
    "service_route",
};
static_assert(kind_names.size() == std::variant_size_v<object>);

} // namespace

std::string_view service_route::owner() const noexcept
{
    return std::string_view(id).substr(0, id.find('/'));
}

std::string_view service_route::path() const noexcept
{
    return std::string_view(id).substr(owner().size());
}

bool service_route::repeatable(std::string_view method) const noexcept
{
    return std::find(repeatable_methods.begin(),
                     repeatable_methods.end(),
                     method) != repeatable_methods.end();
}

std::string_view to_string(object_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::optional<object_kind> parse_object_kind(std::string_view text) noexcept
{
    const auto found = std::find(kind_names.begin(), kind_names.end(), text);
    if (found == kind_names.end())
    {
        return std::nullopt;
    }
    return static_cast<object_kind>(found - kind_names.begin());
}

object_key key_of(const object& value)
{
    return {static_cast<object_kind>(value.index()),
            std::visit(
                [](const auto& each)
                {
                    return each.name();
                },
                value)};
}

std::string to_string(const object_key& key)
{
    return std::string(to_string(key.kind)) + " " + key.id;
}

} // namespace limpet::config
