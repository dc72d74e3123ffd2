#include "head_text.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace limpet::http
{

namespace
{

constexpr std::array<std::string_view, 4> hop_fields = {
    "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"};

bool is_hop_field(std::string_view name)
{
    return std::any_of(hop_fields.begin(),
                       hop_fields.end(),
                       [name](std::string_view other)
                       {
                           return boost::beast::iequals(name, other);
                       });
}

void append_clean(std::string& text, std::string_view value)
{
    for (const char symbol : value)
    {
        if (symbol != '\r' && symbol != '\n' && symbol != '\0')
        {
            text.push_back(symbol);
        }
    }
}

} // namespace

void append_field(std::string& text,
                  std::string_view name,
                  std::string_view value)
{
    append_clean(text, name);
    text += ": ";
    append_clean(text, value);
    text += "\r\n";
}

void append_fields(std::string& text, const header_list& headers)
{
    for (const header item : headers)
    {
        if (!is_hop_field(item.name))
        {
            append_field(text, item.name, item.value);
        }
    }
}

std::string status_text(const response_head& head)
{
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(head.status));
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason.data(), reason.size());
    text += "\r\n";
    append_fields(text, head.headers);
    return text;
}

std::string request_text(const request& message)
{
    std::string text;
    append_clean(text, message.method);
    text += " ";
    append_clean(text, message.target);
    text += " HTTP/1.1\r\n";
    append_fields(text, message.headers);
    return text;
}

header_list to_header_list(const boost::beast::http::fields& fields)
{
    header_list list;
    for (const auto& field : fields)
    {
        const auto name = field.name_string();
        const auto value = field.value();
        list.add(std::string_view(name.data(), name.size()),
                 std::string_view(value.data(), value.size()));
    }
    return list;
}

std::string chunk_line(std::size_t size)
{
    std::array<char, 16> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    std::string line(digits.data(), end.ptr);
    line += "\r\n";
    return line;
}

} // namespace limpet::http
