#include <limpet/base/settings_reader.hpp>

#include <fstream>
#include <sstream>

namespace limpet
{

namespace
{

constexpr std::size_t max_json_depth = 32;

std::string position_of(std::string_view text, std::size_t offset)
{
    std::size_t line = 1;
    std::size_t column = 1;
    for (std::size_t i = 0; i < offset && i < text.size(); ++i)
    {
        const bool line_end = text[i] == '\n';
        line += line_end ? 1 : 0;
        column = line_end ? 1 : column + 1;
    }
    return "line " + std::to_string(line) + " column " + std::to_string(column);
}

/// Returns how many values the text has, or more if it is malformed.
std::size_t count_values(std::string_view text)
{
    std::size_t count = 1;
    bool is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char symbol = text[i];
        if (is_in_string && symbol == '\\')
        {
            ++i;
        }
        else if (symbol == '"')
        {
            is_in_string = !is_in_string;
        }
        else if (!is_in_string)
        {
            count += symbol == ',' || symbol == '[' || symbol == '{' ? 1 : 0;
        }
    }
    return count;
}

std::string range_text(double low, double high)
{
    std::ostringstream text;
    text << "must be between " << low << " and " << high;
    return text.str();
}

std::optional<std::uint64_t> as_unsigned(const boost::json::value& value)
{
    if (value.is_uint64())
    {
        return value.get_uint64();
    }
    if (value.is_int64() && value.get_int64() >= 0)
    {
        return static_cast<std::uint64_t>(value.get_int64());
    }
    return std::nullopt;
}

} // namespace

settings_reader::settings_reader(const boost::json::value& object,
                                 std::string path)
    : m_object(object.if_object()),
      m_path(std::move(path))
{
    if (m_object == nullptr)
    {
        m_error =
            error{error_code::invalid_argument, m_path + ": must be an object"};
    }
}

bool settings_reader::has(std::string_view key) const
{
    return m_object != nullptr && m_object->contains(key);
}

std::string settings_reader::text(std::string_view key)
{
    const boost::json::value* value = child(key, true);
    if (value == nullptr)
    {
        return {};
    }
    if (!value->is_string() || value->get_string().empty())
    {
        fail(key, "must be a text that is not empty");
        return {};
    }
    return std::string(value->get_string());
}

std::string settings_reader::text_or(std::string_view key, std::string fallback)
{
    if (!has(key))
    {
        child(key, false);
        return fallback;
    }
    return text(key);
}

std::uint64_t settings_reader::number(std::string_view key,
                                      std::uint64_t lowest,
                                      std::uint64_t highest)
{
    const boost::json::value* value = child(key, true);
    if (value == nullptr)
    {
        return lowest;
    }
    const std::optional<std::uint64_t> read = as_unsigned(*value);
    if (!read)
    {
        fail(key, "must be a whole number that is not negative");
        return lowest;
    }
    if (*read < lowest || *read > highest)
    {
        fail(key,
             "must be between " + std::to_string(lowest) + " and " +
                 std::to_string(highest));
        return lowest;
    }
    return *read;
}

std::uint64_t settings_reader::number_or(std::string_view key,
                                         std::uint64_t fallback,
                                         std::uint64_t lowest,
                                         std::uint64_t highest)
{
    if (!has(key))
    {
        child(key, false);
        return fallback;
    }
    return number(key, lowest, highest);
}

double settings_reader::real_or(std::string_view key,
                                double fallback,
                                double low,
                                double high)
{
    const boost::json::value* value = child(key, false);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_number())
    {
        fail(key, "must be a number");
        return fallback;
    }
    const double read = value->to_number<double>();
    if (!(read >= low && read <= high))
    {
        fail(key, range_text(low, high));
        return fallback;
    }
    return read;
}

bool settings_reader::flag_or(std::string_view key, bool fallback)
{
    const boost::json::value* value = child(key, false);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_bool())
    {
        fail(key, "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

duration settings_reader::milliseconds_or(std::string_view key,
                                          duration fallback,
                                          duration low,
                                          duration high)
{
    using std::chrono::duration_cast;
    const auto count = [](duration value)
    {
        return static_cast<std::uint64_t>(
            duration_cast<milliseconds>(value).count());
    };
    return milliseconds(
        number_or(key, count(fallback), count(low), count(high)));
}

std::vector<std::string> settings_reader::texts_or_empty(std::string_view key)
{
    const boost::json::value* value = child(key, false);
    if (value == nullptr)
    {
        return {};
    }
    const boost::json::array* items = value->if_array();
    if (items == nullptr)
    {
        fail(key, "must be a list of texts");
        return {};
    }
    std::vector<std::string> texts;
    for (const boost::json::value& item : *items)
    {
        if (!item.is_string())
        {
            fail(key, "must be a list of texts");
            return {};
        }
        texts.emplace_back(item.get_string());
    }
    return texts;
}

const boost::json::value* settings_reader::child(std::string_view key,
                                                 bool required)
{
    m_known.emplace(key);
    if (m_object == nullptr)
    {
        return nullptr;
    }
    const boost::json::value* value = m_object->if_contains(key);
    if (value == nullptr && required)
    {
        fail(key, "is required");
    }
    return value;
}

std::string settings_reader::path_of(std::string_view key) const
{
    return m_path + "." + std::string(key);
}

void settings_reader::fail(std::string_view key, std::string_view reason)
{
    if (m_error)
    {
        return;
    }
    m_error = error{error_code::invalid_argument,
                    path_of(key) + ": " + std::string(reason)};
}

status settings_reader::finish()
{
    if (m_error)
    {
        return *m_error;
    }
    for (const auto& item : *m_object)
    {
        const std::string_view key(item.key().data(), item.key().size());
        if (!m_known.contains(key))
        {
            fail(key, "is not a known setting");
            return *m_error;
        }
    }
    return success();
}

outcome<boost::json::value> parse_json(std::string_view text)
{
    boost::json::parse_options options;
    options.max_depth = max_json_depth;
    boost::json::stream_parser parser({}, options);
    boost::system::error_code failure;
    const std::size_t used =
        parser.write_some(text.data(), text.size(), failure);
    if (!failure && used < text.size())
    {
        failure = boost::json::error::extra_data;
    }
    if (!failure)
    {
        parser.finish(failure);
    }
    if (failure)
    {
        return error{error_code::malformed,
                     "malformed JSON at " + position_of(text, used) + ": " +
                         failure.message()};
    }
    return parser.release();
}

outcome<boost::json::value> parse_sent_json(std::string_view text)
{
    // Short documents may be of small values.
    constexpr std::size_t any_values = 1024;
    constexpr std::size_t bytes_per_value = 8;
    if (count_values(text) > any_values + text.size() / bytes_per_value)
    {
        return error{error_code::malformed,
                     "the document has too many small values"};
    }
    return parse_json(text);
}

outcome<boost::json::value> read_json_file(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
    {
        return error{error_code::io_error, file + ": cannot be read"};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    outcome<boost::json::value> parsed = parse_json(text.str());
    if (!is_ok(parsed))
    {
        return error{error_code::malformed,
                     file + ": " + error_of(parsed).message};
    }
    return parsed;
}

} // namespace limpet
