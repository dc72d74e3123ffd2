/// \file
/// Parser for one line of a log in the key=value format of limpetpoint's
/// processes.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpet::log_story
{

/// A line of key=value pairs and the process that wrote it.
struct log_line
{
    /// Text before the first pair, such as the VM's name that a log collector
    /// adds, or the name of the file if there is no such text.
    std::string source;
    /// ISO 8601 in UTC, unparsed: comparing the strings orders lines by time.
    std::string time;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;
    /// The unparsed line.
    std::string text;

    /// Returns the field's value, or an empty view if the line lacks the field.
    std::string_view field(std::string_view name) const;
};

/// Parses a log line of a limpetpoint process. Returns nullopt for any other
/// line, which is one without a time or an event. \a file is the source of
/// lines that have no text before the first pair.
std::optional<log_line> parse_line(std::string_view text,
                                   std::string_view file);

} // namespace limpet::log_story
