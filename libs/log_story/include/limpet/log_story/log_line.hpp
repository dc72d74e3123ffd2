/// \file
/// One line of a log.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpet::log_story
{

/// A line of key=value pairs, and who wrote it.
struct log_line
{
    /// What stands before the first pair, such as the name of the machine that
    /// a collector adds; or else the name of the file.
    std::string source;
    /// ISO 8601 in UTC, as written, so that texts sort by time.
    std::string time;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;
    std::string text;

    /// Returns the field's value, empty if there is none.
    std::string_view field(std::string_view name) const;
};

/// Parses a line of a process of this project; nothing for any other line. The
/// file's name is the source of lines that name none.
std::optional<log_line> parse_line(std::string_view text,
                                   std::string_view file);

} // namespace limpet::log_story
