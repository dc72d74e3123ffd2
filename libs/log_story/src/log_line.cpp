#include <limpet/log_story/log_line.hpp>

#include <algorithm>

namespace limpet::log_story
{

namespace
{

constexpr std::string_view first_key = "time=";

/// Removes a value from the front of \a rest and returns it: a quoted string
/// without its quotes and escapes, or the text up to the next space.
std::string consume_value(std::string_view& rest)
{
    std::string value;
    const bool is_quoted = rest.starts_with('"');
    std::size_t at = is_quoted ? 1 : 0;
    for (; at < rest.size(); ++at)
    {
        if (is_quoted && rest[at] == '\\' && at + 1 < rest.size())
        {
            ++at;
        }
        else if (rest[at] == (is_quoted ? '"' : ' '))
        {
            break;
        }
        value += rest[at];
    }
    rest.remove_prefix(std::min(at + (is_quoted ? 1 : 0), rest.size()));
    return value;
}

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos)
    {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

} // namespace

std::string_view log_line::field(std::string_view name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view()
                                 : std::string_view(found->second);
}

std::optional<log_line> parse_line(std::string_view text, std::string_view file)
{
    const std::size_t begin = text.find(first_key);
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    log_line line;
    line.text = text;
    const std::string_view before = trim(text.substr(0, begin));
    line.source = before.empty() ? file : before;
    std::string_view rest = text.substr(begin);
    while (!rest.empty())
    {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos)
        {
            break;
        }
        const std::string key(trim(rest.substr(0, equals)));
        rest.remove_prefix(equals + 1);
        line.fields[key] = consume_value(rest);
    }
    line.time = line.field("time");
    line.event = line.field("event");
    if (line.event.empty())
    {
        return std::nullopt;
    }
    return line;
}

} // namespace limpet::log_story
