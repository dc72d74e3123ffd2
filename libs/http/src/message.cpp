#include <limpet/http/message.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace limpet::http
{

std::optional<std::string_view> header_list::find(std::string_view name) const
{
    const auto found = std::find_if(m_positions.begin(),
                                    m_positions.end(),
                                    [this, name](const position& place)
                                    {
                                        return has_name(place, name);
                                    });
    return found == m_positions.end() ? std::nullopt
                                      : std::optional(at(*found).value);
}

std::string_view header_list::value_or_empty(std::string_view name) const
{
    return find(name).value_or(std::string_view());
}

void header_list::set(std::string_view name, std::string_view value)
{
    // The arguments may refer to the list.
    const std::string own_name(name);
    const std::string own_value(value);
    erase(own_name);
    add(own_name, own_value);
}

void header_list::add(std::string_view name, std::string_view value)
{
    const auto size_of = [](std::size_t size)
    {
        return static_cast<std::uint32_t>(size);
    };
    m_positions.push_back(
        {size_of(m_text.size()), size_of(name.size()), size_of(value.size())});
    m_text.append(name).append(value);
}

void header_list::erase(std::string_view name)
{
    if (!find(name))
    {
        return;
    }
    header_list kept;
    for (const header item : *this)
    {
        if (!boost::beast::iequals(item.name, name))
        {
            kept.add(item.name, item.value);
        }
    }
    *this = std::move(kept);
}

void header_list::shrink_to_fit()
{
    m_text.shrink_to_fit();
    m_positions.shrink_to_fit();
}

bool header_list::has_name(const position& place, std::string_view name) const
{
    return boost::beast::iequals(at(place).name, name);
}

} // namespace limpet::http
