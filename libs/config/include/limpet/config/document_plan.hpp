/// \file
/// Converts operators' documents to commands and computes differences.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/command.hpp>

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace limpet::config
{

/// An object in force and its revision, as returned by the operator API.
struct object_in_force
{
    revision changed_at;
    object value;
};

/// A field that differs between two objects.
struct field_difference
{
    /// Path of the field, such as "parameters.priority".
    std::string field;
    /// JSON text of the value; empty if the field is absent.
    std::string before;
    std::string after;

    friend bool operator==(const field_difference&,
                           const field_difference&) = default;
};

/// An entry of an operator's file: either a command document, which contains an
/// operation id, or an object document, which contains a kind.
struct document_entry
{
    object_key key;
    /// The command; absent if the entry is an object document.
    std::optional<command> order;
    /// The desired object; absent if the entry is a command document.
    std::optional<object> wanted;
    /// The revision that the object document is based on, from its optional
    /// field "revision".
    std::optional<revision> based_on;
};

/// Parses one entry of an operator's file.
outcome<document_entry> parse_entry(const boost::json::value& document);

/// Parses an object with its revision from a response of the operator API.
outcome<object_in_force> parse_in_force(const boost::json::value& document);

/// Returns the command that changes the object in force to the desired object,
/// or nothing if the two are equal. For a command document, returns its command
/// unchanged. The operation id is used for object documents only.
std::optional<command>
command_for(const document_entry& entry,
            const std::optional<object_in_force>& in_force,
            const operation_id& operation);

/// Returns the fields that differ, sorted by path.
std::vector<field_difference> differences(const std::optional<object>& before,
                                          const std::optional<object>& after);

} // namespace limpet::config
