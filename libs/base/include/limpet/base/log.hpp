/// \file
/// Structured logs: one line of key=value pairs for each event.

#pragma once

#include <limpet/base/outcome.hpp>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace limpet
{

enum class log_level
{
    debug,
    info,
    warn,
    error
};

/// A number that a log field accepts; flags have a constructor of their own.
template <class T>
concept loggable_number = (std::integral<T> ||
                           std::floating_point<T>)&&!std::same_as<T, bool>;

/// One key and its value, already formatted.
struct log_field
{
    log_field(std::string_view name, std::string_view text)
        : key(name),
          value(text)
    {
    }

    log_field(std::string_view name, const char* text)
        : key(name),
          value(text)
    {
    }

    log_field(std::string_view name, bool flag)
        : key(name),
          value(flag ? "true" : "false")
    {
    }

    template <loggable_number Number>
    log_field(std::string_view name, Number number)
        : key(name),
          value(std::to_string(number))
    {
    }

    std::string_view key;
    std::string value;
};

/// Sends the log to standard output from the given level on, from a thread of
/// its own: an event that finds the buffer full is dropped and counted in a
/// line, so that logging never waits for the reader. Call once, before other
/// threads start. Events before the call are dropped.
void open_log(std::string_view program, log_level lowest);

/// Returns the number of events logged so far.
std::uint64_t log_lines_written() noexcept;

/// Parses "debug", "info", "warn" or "error".
outcome<log_level> parse_log_level(std::string_view text);

/// Returns one line: the event's name and its fields. Values with spaces,
/// quotes or control characters are quoted and escaped.
std::string format_event(std::string_view event,
                         std::initializer_list<log_field> fields);

/// Writes one event. Thread-safe.
void log_event(log_level level,
               std::string_view event,
               std::initializer_list<log_field> fields);

} // namespace limpet
