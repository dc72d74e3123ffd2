#include <limpet/http/message.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace limpet::http
{

const std::string* header_list::find(std::string_view name) const
{
    for (const header& item : m_items)
    {
        if (boost::beast::iequals(item.name, name))
        {
            return &item.value;
        }
    }
    return nullptr;
}

std::string_view header_list::value_or_empty(std::string_view name) const
{
    const std::string* value = find(name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

void header_list::set(std::string_view name, std::string_view value)
{
    erase(name);
    m_items.push_back({std::string(name), std::string(value)});
}

void header_list::add(std::string_view name, std::string_view value)
{
    m_items.push_back({std::string(name), std::string(value)});
}

void header_list::erase(std::string_view name)
{
    std::erase_if(m_items,
                  [name](const header& item)
                  {
                      return boost::beast::iequals(item.name, name);
                  });
}

} // namespace limpet::http
