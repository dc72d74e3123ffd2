#include <limpet/base/log.hpp>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <cstdio>

namespace limpet
{

namespace
{

std::atomic<bool> is_open{false};
std::atomic<std::uint64_t> lines{0};

/// Events kept for a slow reader of the log; about 1 MB of lines.
constexpr int buffered_events = 4096;
/// Longer values are cut: callers choose some of them.
constexpr std::size_t max_value_bytes = 1024;
constexpr std::string_view cut_mark = "...";

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getRootLogger();
}

log4cxx::LevelPtr native_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

bool needs_quotes(std::string_view value)
{
    for (const char c : value)
    {
        if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c == 0x7f)
        {
            return true;
        }
    }
    return value.empty();
}

void append_escaped(std::string& line, char c)
{
    if (c == '"' || c == '\\')
    {
        line += '\\';
        line += c;
        return;
    }
    if (static_cast<unsigned char>(c) >= ' ' && c != 0x7f)
    {
        line += c;
        return;
    }
    std::array<char, 8> code{};
    std::snprintf(
        code.data(), code.size(), "\\x%02x", static_cast<unsigned char>(c));
    line += code.data();
}

void append_value(std::string& line, std::string_view value)
{
    if (value.size() > max_value_bytes + cut_mark.size())
    {
        std::string cut(value.substr(0, max_value_bytes));
        append_value(line, cut.append(cut_mark));
        return;
    }
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        append_escaped(line, c);
    }
    line += '"';
}

} // namespace

void open_log(std::string_view program, log_level lowest)
{
    const std::string pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p "
                                "program=" +
                                std::string(program) + " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto buffer = std::make_shared<log4cxx::AsyncAppender>();
    buffer->setBlocking(false);
    buffer->setBufferSize(buffered_events);
    buffer->addAppender(appender);
    logger()->removeAllAppenders();
    logger()->addAppender(buffer);
    logger()->setLevel(native_level(lowest));
    is_open = true;
}

std::uint64_t log_lines_written() noexcept
{
    return lines;
}

outcome<log_level> parse_log_level(std::string_view text)
{
    if (text == "debug")
    {
        return log_level::debug;
    }
    if (text == "info")
    {
        return log_level::info;
    }
    if (text == "warn")
    {
        return log_level::warn;
    }
    if (text == "error")
    {
        return log_level::error;
    }
    return error{error_code::invalid_argument,
                 "log level must be debug, info, warn or error"};
}

std::string format_event(std::string_view event,
                         std::initializer_list<log_field> fields)
{
    std::string line = "event=";
    append_value(line, event);
    for (const log_field& field : fields)
    {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    return line;
}

void log_event(log_level level,
               std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (!is_open)
    {
        return;
    }
    const log4cxx::LoggerPtr target = logger();
    const log4cxx::LevelPtr native = native_level(level);
    if (!target->isEnabledFor(native))
    {
        return;
    }
    ++lines;
    target->forcedLog(native, format_event(event, fields), LOG4CXX_LOCATION);
}

} // namespace limpet
