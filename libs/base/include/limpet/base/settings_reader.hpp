/// \file
/// Checked access to settings written in JSON.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpet
{

/// Reads one JSON object. It records the first error with the path of the
/// value, so that a parse function reads all fields and checks once, with
/// finish().
class settings_reader
{
public:
    /// The object must outlive the reader. The path names it in errors.
    settings_reader(const boost::json::value& object, std::string path);

    /// Returns whether the key is present.
    bool has(std::string_view key) const;

    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::uint64_t
    number(std::string_view key, std::uint64_t lowest, std::uint64_t highest);
    std::uint64_t number_or(std::string_view key,
                            std::uint64_t fallback,
                            std::uint64_t lowest,
                            std::uint64_t highest);
    double
    real_or(std::string_view key, double fallback, double low, double high);
    bool flag_or(std::string_view key, bool fallback);

    /// Reads a duration given as a whole number of milliseconds.
    duration milliseconds_or(std::string_view key,
                             duration fallback,
                             duration low,
                             duration high);

    std::vector<std::string> texts_or_empty(std::string_view key);

    /// Returns the value under the key, or null with an error recorded if it
    /// is missing and required. Marks the key as known.
    const boost::json::value* child(std::string_view key, bool required);

    /// Returns the path of the key within the document.
    std::string path_of(std::string_view key) const;

    /// Records an error at the key unless there is one already.
    void fail(std::string_view key, std::string_view reason);

    /// Returns the first error, an error for the first unknown key, or
    /// success.
    status finish();

private:
    const boost::json::object* m_object = nullptr;
    std::string m_path;
    std::set<std::string, std::less<>> m_known;
    std::optional<error> m_error;
};

/// Reads a JSON document from a file. Errors name the file and, for malformed
/// documents, the line and column.
outcome<boost::json::value> read_json_file(const std::string& file);

/// Parses JSON text of bounded depth. Errors name the line and column.
outcome<boost::json::value> parse_json(std::string_view text);

/// Parses a document that another machine sent. Refuses one with more values
/// than any of names and sentences has, a value for each eight bytes: parsed,
/// they would take forty times the text.
outcome<boost::json::value> parse_sent_json(std::string_view text);

} // namespace limpet
